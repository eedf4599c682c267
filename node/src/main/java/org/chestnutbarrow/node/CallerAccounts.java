package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.chestnutbarrow.batch.Account;
import org.chestnutbarrow.batch.Queue;
import org.chestnutbarrow.model.JobId;

/** Decides by the declarations in force and the jobs that this node knows. Thread-safe; has no state of its own. */
final class CallerAccounts implements AccountService {
    private final ControlTable control;
    private final Supplier<Duration> keyAge;
    private final Duration maxKeyAge;
    private final JobReplica replica;
    private final NodeMetrics metrics;

    /**
     * Creates the accounts of a node.
     *
     * @param keyAge time since the declarations were read, measured also over suspensions of the machine
     * @param maxKeyAge age from which callers with keys are refused
     */
    CallerAccounts(
            ControlTable control,
            Supplier<Duration> keyAge,
            Duration maxKeyAge,
            JobReplica replica,
            NodeMetrics metrics) {
        this.control = control;
        this.keyAge = keyAge;
        this.maxKeyAge = maxKeyAge;
        this.replica = replica;
        this.metrics = metrics;
    }

    @Override
    public Access access(Queue queue, Optional<String> key) {
        // The age is read before the keys, so that it is not that of a newer state.
        Duration age = keyAge.get();
        Access access = control.state().access().decide(queue, key, age, maxKeyAge);
        switch (access) {
            case Access.Granted _ -> {}
            case Access.UnknownKey _ -> metrics.accessRefused("unknown-key");
            case Access.KeysOutdated _ -> metrics.accessRefused("keys-outdated");
        }
        return access;
    }

    @Override
    public boolean belongsToOther(JobId id, String account) {
        return replica.find(id)
                .map(view -> view.spec().account())
                .filter(owner -> !owner.isEmpty() && !owner.equals(account))
                .isPresent();
    }

    @Override
    public Optional<Duration> retryAfter(JobId id, String account) {
        Account declared = control.state().access().accounts().get(account);
        if (declared == null || replica.find(id).isPresent()) {
            return Optional.empty();
        }
        Optional<Duration> retryAfter = AccountAdmission.retryAfter(
                declared, replica.recentSubmissions(account), replica.pendingJobsOfAccount(account));
        if (retryAfter.isPresent()) {
            metrics.accessRefused("account-rate");
        }
        return retryAfter;
    }
}
