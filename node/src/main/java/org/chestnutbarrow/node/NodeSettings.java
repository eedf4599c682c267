package org.chestnutbarrow.node;

import java.time.Duration;
import org.chestnutbarrow.model.Checks;

/**
 * What a node needs to know of its installation.
 *
 * @param name name of this node, unique among the nodes that run
 * @param membership shortest time after which the store may give away what a silent member owns
 * @param longestLease longest lease that a worker grants
 */
public record NodeSettings(String name, Duration membership, Duration longestLease) {
    public NodeSettings {
        Checks.require(name != null && !name.isEmpty(), "a node needs a name");
        Checks.require(membership.isPositive() && longestLease.isPositive(), "times must be positive");
    }
}
