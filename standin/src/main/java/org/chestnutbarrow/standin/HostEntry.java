package org.chestnutbarrow.standin;

import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;

/**
 * One worker as the host list shows it.
 *
 * @param control address of the worker's control server, {@code IP:PORT}
 * @param endpoint address of its endpoint, {@code IP:PORT}
 */
public record HostEntry(
        String id,
        String availabilityZone,
        String rack,
        String control,
        String endpoint,
        State state,
        Resources capacity) {
    public HostEntry {
        Checks.require(state != null && capacity != null, "a host needs state and capacity");
        Checks.require(control != null && endpoint != null, "a host needs control and endpoint addresses");
        new WorkerId(id);
        new AvailabilityZone(availabilityZone);
        Checks.identifier("rack", rack);
        Address.parse(control);
        Address.parse(endpoint);
    }

    /** Whether the host may get new work. */
    public enum State {
        LIVE,
        LEAVING
    }
}
