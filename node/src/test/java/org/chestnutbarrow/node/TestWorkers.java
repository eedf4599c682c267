package org.chestnutbarrow.node;

import java.util.Set;
import org.chestnutbarrow.batch.WorkerRegistration;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;

/** Registrations of workers for tests. Stateless. */
final class TestWorkers {
    private TestWorkers() {}

    static WorkerRegistration worker(String id) {
        return worker(id, 1);
    }

    static WorkerRegistration worker(String id, long incarnation) {
        return new WorkerRegistration(
                new WorkerId(id),
                incarnation,
                new Address("127.0.0.1", 1),
                "service",
                new AvailabilityZone("zone"),
                Set.of(),
                new Resources(0, 0, 8000, 16000, 0),
                false);
    }
}
