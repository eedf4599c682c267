package org.chestnutbarrow.node;

import java.time.Duration;
import org.chestnutbarrow.model.Checks;

/**
 * What a node needs to know of its installation.
 *
 * @param name name of this node, unique among the nodes that run
 * @param milliCores processing capacity of this node; 0 if it is not known
 * @param membership shortest time after which the store may give away what a silent member owns
 * @param longestLease longest lease that a worker grants
 */
public record NodeSettings(String name, int milliCores, Duration membership, Duration longestLease) {
    /** More than any machine has, and short enough for the id of a member. */
    private static final int MOST_MILLI_CORES = 100_000_000;

    public NodeSettings {
        Checks.require(name != null && !name.isEmpty(), "a node needs a name");
        Checks.require(milliCores >= 0 && milliCores <= MOST_MILLI_CORES, "a capacity is from 0 to 100000 cores");
        Checks.require(membership.isPositive() && longestLease.isPositive(), "times must be positive");
    }
}
