package org.chestnutbarrow.batch;

import java.util.Set;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;

/**
 * What a worker says of itself.
 *
 * @param id the worker
 * @param born start of this life, ms since 1970 on the worker's clock
 * @param address where it takes orders
 * @param service pool that it belongs to
 * @param zone its availability zone
 * @param labels its kind and its rack
 * @param capacity all that its tasks may use
 * @param leaving whether it shuts down soon
 */
public record WorkerEntry(
        WorkerId id,
        long born,
        Address address,
        String service,
        AvailabilityZone zone,
        Set<String> labels,
        Resources capacity,
        boolean leaving) {
    public WorkerEntry {
        Checks.require(id != null && address != null && zone != null && capacity != null, "incomplete worker entry");
        labels = Set.copyOf(labels);
    }
}
