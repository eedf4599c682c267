package org.chestnutbarrow.placement;

/** A daemon's connectivity to the configured daemons. */
public enum Connectivity {
    /** Every configured daemon was heard within 1 s and has answered this daemon's heartbeats within 2 s. */
    ALL,
    /** A majority of the configured daemons, this one included, has answered its heartbeats within 2 s. */
    MAJORITY,
    /** No majority of the configured daemons has answered. */
    MINORITY
}
