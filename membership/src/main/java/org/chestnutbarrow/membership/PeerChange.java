package org.chestnutbarrow.membership;

import org.chestnutbarrow.model.DaemonId;

/** The change in the known state of a daemon that results from its heartbeat. */
public sealed interface PeerChange {
    /** The liveness of the daemon is unchanged. */
    record Unchanged() implements PeerChange {}

    /** The daemon sent its first heartbeat, or the first one after it was considered dead. */
    record Joined(DaemonId daemon, long incarnation) implements PeerChange {}

    /** The daemon was restarted; the attempts, requests and leases of its previous process are orphaned. */
    record Restarted(DaemonId daemon, long incarnation) implements PeerChange {}

    /** The daemon has begun to shut down. */
    record Leaving(DaemonId daemon) implements PeerChange {}

    /** The heartbeat was ignored: its sender is not configured, or it arrived late from an earlier incarnation. */
    record Ignored(DaemonId daemon, long incarnation) implements PeerChange {}
}
