package org.chestnutbarrow.node;

import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;

/**
 * Where a node passes calls of the owner on to workers. Immutable.
 *
 * @param zone availability zone of the node
 * @param address address at which the node accepts calls of the owner
 */
public record RelayEndpoint(AvailabilityZone zone, Address address) {}
