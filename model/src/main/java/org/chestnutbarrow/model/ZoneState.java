package org.chestnutbarrow.model;

/** Whether operators let work start in an availability zone. */
public enum ZoneState {
    /** Work may start. */
    IN,
    /** No work may start; what runs is moved away. */
    OUT
}
