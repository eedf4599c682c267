package org.chestnutbarrow.batch;

import java.util.Set;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;

/**
 * A worker's registration.
 *
 * @param id the worker
 * @param incarnation start time of the worker process, in ms since the epoch on the worker's clock
 * @param address address at which the worker receives orders
 * @param service service whose tasks the worker runs
 * @param zone its availability zone
 * @param labels its kind and its rack
 * @param capacity total resources available to its tasks
 * @param draining whether the worker shuts down soon
 */
public record WorkerRegistration(
        WorkerId id,
        long incarnation,
        Address address,
        String service,
        AvailabilityZone zone,
        Set<String> labels,
        Resources capacity,
        boolean draining) {
    public WorkerRegistration {
        Checks.require(
                id != null && address != null && service != null && zone != null && capacity != null,
                "a worker entry needs id, address, service, zone and capacity");
        Checks.require(capacity.fitsIn(Resources.MAX_PER_HOST), "the capacity exceeds that of any host");
        labels = Set.copyOf(labels);
    }
}
