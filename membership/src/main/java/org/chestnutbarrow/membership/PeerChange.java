package org.chestnutbarrow.membership;

import org.chestnutbarrow.model.DaemonId;

/** What a heartbeat changed in the view of its sender. */
public sealed interface PeerChange {
    /** Nothing that concerns who is alive. */
    record Unchanged() implements PeerChange {}

    /** The daemon is heard for the first time, or again after a silence. */
    record Joined(DaemonId daemon, long incarnation) implements PeerChange {}

    /** The daemon's process is a new one: its attempts, requests and leases are those of a dead process. */
    record Restarted(DaemonId daemon, long incarnation) implements PeerChange {}

    /** The daemon has begun to shut down. */
    record Leaving(DaemonId daemon) implements PeerChange {}

    /** The message was ignored: its sender is not configured, or it came late from an earlier incarnation. */
    record Ignored(DaemonId daemon, long incarnation) implements PeerChange {}
}
