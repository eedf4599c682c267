package org.chestnutbarrow.model;

/**
 * A worker as described by the platform's host list.
 *
 * @param id unique name
 * @param zone availability zone that it belongs to
 * @param rack rack within the zone
 * @param control address of the worker's control interface
 * @param endpoint address of the service instance to which requests are routed
 * @param leaving whether the host is being decommissioned and must receive no new work
 * @param capacity total resources of the worker
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
