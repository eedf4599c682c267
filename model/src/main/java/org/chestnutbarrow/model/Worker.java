package org.chestnutbarrow.model;

/**
 * A worker as the platform's host list describes it.
 *
 * @param id unique name
 * @param zone availability zone that it stands in
 * @param rack rack within the zone
 * @param control address of the platform's agent
 * @param endpoint address of the service instance that requests are routed to
 * @param leaving whether the host is going away and must get no new work
 * @param capacity all that the worker holds
 */
public record Worker(
        WorkerId id,
        AvailabilityZone zone,
        String rack,
        Address control,
        Address endpoint,
        boolean leaving,
        Resources capacity) {
    public Worker {
        Checks.require(id != null && zone != null && capacity != null, "worker needs id, zone and capacity");
        Checks.identifier("rack", rack);
        Checks.require(control != null && endpoint != null, "worker needs control and endpoint addresses");
    }
}
