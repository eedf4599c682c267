package org.chestnutbarrow.placement;

/** How well a daemon is connected to the configured daemons. */
public enum Contact {
    /** Every configured daemon was heard within 1 s and has answered this daemon's heartbeat within 2 s. */
    ALL,
    /** A majority of the configured daemons, this one included, has answered its heartbeat within 2 s. */
    MAJORITY,
    /** Fewer than a majority have answered. */
    MINORITY
}
