package org.chestnutbarrow.standin;

import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;

/**
 * A worker as registered in the host list.
 *
 * @param control address of the worker's control server, {@code IP:PORT}
 * @param endpoint address of the worker's endpoint, {@code IP:PORT}
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
        Checks.require(state != null && capacity != null, "state and capacity are required");
        Checks.require(control != null && endpoint != null, "control and endpoint addresses are required");
        new WorkerId(id);
        new AvailabilityZone(availabilityZone);
        Checks.identifier("rack", rack);
        Address.parse(control);
        Address.parse(endpoint);
    }

    /** Lifecycle state of the host; hosts that are leaving get no new work. */
    public enum State {
        LIVE,
        LEAVING
    }
}
