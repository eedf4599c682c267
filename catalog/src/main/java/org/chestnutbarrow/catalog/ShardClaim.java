package org.chestnutbarrow.catalog;

import org.chestnutbarrow.model.DaemonId;

/**
 * The claim of a job shard that stands. Immutable.
 *
 * @param epoch one more than the claim that it replaced; the first is 1
 * @param daemon the holder
 * @param incarnation the holder's process; a restarted daemon has to claim again
 * @param offset offset of the record that made it
 */
public record ShardClaim(long epoch, DaemonId daemon, long incarnation, long offset) {}
