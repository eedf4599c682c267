package org.chestnutbarrow.node;

/** Where the ownership of the workers stands, for a worker link. Safe for use by several threads. */
interface Owner {
    /** The token of this ownership. */
    long token();

    /** Whether leases may still be extended. */
    boolean extending();

    /** Whether this ownership has not ended. */
    boolean active();

    /** A worker has seen a newer owner. */
    void fenced(String by);

    /** Something changed that may allow new placements. */
    void wake();

    /** Whether all leases that earlier owners have extended are over. */
    boolean earlierLeasesOver();
}
