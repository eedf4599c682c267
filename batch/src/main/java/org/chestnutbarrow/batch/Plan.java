package org.chestnutbarrow.batch;

import java.util.List;
import java.util.Map;
import org.chestnutbarrow.model.WorkerId;

/**
 * What to store and then to do.
 *
 * @param changes progress that must be stored before anything else of the plan is done
 * @param orders orders to send once the changes are stored
 * @param acknowledge for each worker the highest end that may be acknowledged once the changes are stored
 */
public record Plan(List<JobProgress> changes, List<Order> orders, Map<WorkerId, Long> acknowledge) {
    public Plan {
        changes = List.copyOf(changes);
        orders = List.copyOf(orders);
        acknowledge = Map.copyOf(acknowledge);
    }

    /** Whether there is nothing to store or to do. */
    public boolean isEmpty() {
        return changes.isEmpty() && orders.isEmpty() && acknowledge.isEmpty();
    }
}
