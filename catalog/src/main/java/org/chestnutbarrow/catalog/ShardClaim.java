package org.chestnutbarrow.catalog;

import org.chestnutbarrow.model.DaemonId;

/**
 * The effective claim of a job shard. Immutable.
 *
 * @param epoch epoch of the claim, one higher than that of the claim that it replaced; the first is 1
 * @param daemon daemon that holds the shard
 * @param incarnation incarnation of that daemon's process; a restarted daemon has to claim again
 * @param offset offset of the log record of the claim
 */
public record ShardClaim(long epoch, DaemonId daemon, long incarnation, long offset) {}
