package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.Optional;
import org.chestnutbarrow.model.Checks;

/**
 * Settings of a node.
 *
 * @param name name of this node, unique among the running nodes
 * @param capacity capacity of the machine of this node
 * @param relay where this node passes calls of the owner on to workers; empty if it does not
 * @param membershipTtl shortest time after which the store may reassign the partitions of a silent member
 * @param maxLease longest lease that a worker grants
 * @param maxKeyAge age of the API keys from which callers are refused until they have been read again
 */
public record NodeSettings(
        String name,
        NodeCapacity capacity,
        Optional<RelayEndpoint> relay,
        Duration membershipTtl,
        Duration maxLease,
        Duration maxKeyAge) {
    /** Maximum age of the keys unless the settings say otherwise. */
    public static final Duration DEFAULT_MAX_KEY_AGE = Duration.ofSeconds(4);

    public NodeSettings {
        Checks.require(name != null && !name.isEmpty(), "the name of a node must not be empty");
        Checks.require(capacity != null, "the capacity of a node must be given");
        Checks.require(
                membershipTtl.isPositive() && maxLease.isPositive() && maxKeyAge.isPositive(),
                "the membership timeout, the longest lease and the age of keys must be positive");
    }

    /** Creates settings with the default age of API keys. */
    public NodeSettings(
            String name,
            NodeCapacity capacity,
            Optional<RelayEndpoint> relay,
            Duration membershipTtl,
            Duration maxLease) {
        this(name, capacity, relay, membershipTtl, maxLease, DEFAULT_MAX_KEY_AGE);
    }
}
