package org.chestnutbarrow.model;

import java.time.Duration;

/** How current this daemon's view of the log is; checked before every task start and every request. Immutable. */
public sealed interface Freshness {
    /** Returns the time since the view was last known to hold the newest configuration in the log. */
    Duration age();

    /** Returns whether tasks may be started and requests may be sent. */
    default boolean allowsStarts() {
        return switch (this) {
            case Current current -> true;
            case Vouched vouched -> true;
            case Stale stale -> false;
        };
    }

    /** Within the bound, the log was read to its end by this daemon or by a reachable peer. */
    record Current(Duration age, boolean ownRead) implements Freshness {}

    /** The log is unreadable for all reachable daemons, and a majority of the configured daemons confirms this. */
    record Vouched(Duration age, int vouchers) implements Freshness {}

    /** Newer configuration may be in force elsewhere. */
    record Stale(Duration age) implements Freshness {}
}
