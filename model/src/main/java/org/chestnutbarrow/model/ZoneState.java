package org.chestnutbarrow.model;

/** The administrative state of an availability zone. */
public enum ZoneState {
    /** Work may start. */
    IN,
    /** No work may start, and running work is moved to other zones. */
    OUT
}
