package org.chestnutbarrow.routing;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.chestnutbarrow.capacity.AvailableCapacity;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;

/**
 * The workers that requests may be sent to, for one version of the accounts and one of the configuration. Immutable.
 *
 * @param accountsVersion version of the accounts that it was made from
 * @param configurationVersion version of the configuration that it was made from
 * @param workers workers whose zones take work and that are not leaving
 */
record Candidates(long accountsVersion, long configurationVersion, List<Worker> workers) {
    static final Candidates NONE = new Candidates(-1, -2, List.of());

    static Candidates of(long accountsVersion, Configuration configuration, List<AvailableCapacity> rooms) {
        List<Worker> workers = rooms.stream()
                .map(AvailableCapacity::worker)
                .filter(worker -> !worker.leaving() && configuration.startsAllowed(worker.zone()))
                .sorted((a, b) -> a.id().compareTo(b.id()))
                .toList();
        return new Candidates(accountsVersion, configuration.version(), workers);
    }

    boolean current(long accounts, long configuration) {
        return accountsVersion == accounts && configurationVersion == configuration;
    }

    /** Workers of this snapshot that are missing in a newer one. */
    Set<WorkerId> missingIn(Candidates newer) {
        Set<WorkerId> missing = new HashSet<>();
        workers.forEach(worker -> missing.add(worker.id()));
        newer.workers.forEach(worker -> missing.remove(worker.id()));
        return missing;
    }
}
