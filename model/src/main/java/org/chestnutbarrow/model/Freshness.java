package org.chestnutbarrow.model;

import java.time.Duration;

/** How current this daemon's view of the log is; every start and every send passes it. Immutable. */
public sealed interface Freshness {
    /** Time since the newest moment at which no newer configuration stood in the log. */
    Duration age();

    /** Whether work may be started and requests may be sent. */
    default boolean allowsStarts() {
        return switch (this) {
            case Current current -> true;
            case Vouched vouched -> true;
            case Stale stale -> false;
        };
    }

    /** The log was read to its end, by this daemon or by a peer that it hears, within the bound. */
    record Current(Duration age, boolean ownRead) implements Freshness {}

    /** Nobody heard can read the log, and a majority of the configured daemons says so. */
    record Vouched(Duration age, int vouchers) implements Freshness {}

    /** Newer configuration may be in force elsewhere. */
    record Stale(Duration age) implements Freshness {}
}
