package org.chestnutbarrow.routing;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.chestnutbarrow.capacity.AvailableCapacity;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;

/**
 * Snapshot of the workers to which requests may be sent, for one version of the ledger and one of the configuration.
 * Immutable.
 *
 * @param ledgerVersion version of the ledger from which this snapshot was created
 * @param configurationVersion version of the configuration from which this snapshot was created
 * @param workers workers that are not leaving, in zones in which starts are allowed
 */
record EligibleWorkers(long ledgerVersion, long configurationVersion, List<Worker> workers) {
    static final EligibleWorkers NONE = new EligibleWorkers(-1, -2, List.of());

    static EligibleWorkers of(long ledgerVersion, Configuration configuration, List<AvailableCapacity> available) {
        List<Worker> workers = available.stream()
                .map(AvailableCapacity::worker)
                .filter(worker -> !worker.leaving() && configuration.startsAllowed(worker.zone()))
                .sorted((first, second) -> first.id().compareTo(second.id()))
                .toList();
        return new EligibleWorkers(ledgerVersion, configuration.version(), workers);
    }

    boolean matches(long currentLedgerVersion, long currentConfigurationVersion) {
        return ledgerVersion == currentLedgerVersion && configurationVersion == currentConfigurationVersion;
    }

    /** Returns the workers of this snapshot that are not in a newer one. */
    Set<WorkerId> removedIn(EligibleWorkers newer) {
        Set<WorkerId> removed = new HashSet<>();
        workers.forEach(worker -> removed.add(worker.id()));
        newer.workers.forEach(worker -> removed.remove(worker.id()));
        return removed;
    }
}
