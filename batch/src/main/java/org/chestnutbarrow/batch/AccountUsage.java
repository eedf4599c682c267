package org.chestnutbarrow.batch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.chestnutbarrow.model.Resources;

/**
 * What the tasks of each client account hold on all workers, and which starts the accounts permit. Guarded by the lock
 * of its {@link BatchScheduler}.
 *
 * <p>Invariant: a task counts from before its start is ordered until the end of its run is listed or the leases of its
 * worker have expired, also under later owners, which restore placed tasks before they start any. A best-effort task
 * counts with the CPU that it uses at full speed.
 */
final class AccountUsage {
    /** The account of jobs that were submitted without one. */
    static final String NO_ACCOUNT = "";

    private final Map<String, Resources> usage = new HashMap<>();
    private Map<String, Account> accounts = Map.of();

    void configure(Map<String, Account> newAccounts) {
        accounts = Map.copyOf(newAccounts);
    }

    /** Returns whether the deployment has accounts. */
    boolean hasAccounts() {
        return !accounts.isEmpty();
    }

    /** Records that a task of an account was assigned to a worker. */
    void add(String account, Resources demand) {
        usage.merge(account, demand, Resources::plus);
    }

    /** Records that a task of an account is no longer assigned to a worker. */
    void remove(String account, Resources demand) {
        usage.computeIfPresent(account, (_, used) -> used.equals(demand) ? null : used.minus(demand));
    }

    /** Returns what the tasks of an account hold. */
    Resources usage(String account) {
        return usage.getOrDefault(account, Resources.NONE);
    }

    /** Returns what the tasks of the accounts in force hold, by account. */
    Map<String, Resources> byAccount() {
        Map<String, Resources> result = new HashMap<>();
        accounts.keySet().forEach(name -> result.put(name, usage(name)));
        return result;
    }

    /**
     * Returns whether the cap of its account permits to start a task. A task that is larger than the cap may run alone,
     * since its job would wait without an end.
     */
    boolean permitsStart(TaskEntry task) {
        Account account = accounts.get(task.job.spec.account());
        if (account == null) {
            return true;
        }
        Resources used = usage(account.name());
        return used.equals(Resources.NONE) || account.permits(used.plus(task.step.demand()));
    }

    /**
     * Returns the shares of a plan in which the given accounts have waiting tasks.
     */
    FairShares shares(Set<String> waitingAccounts, Resources capacity) {
        double weights = 0;
        for (String name : activeAccounts(waitingAccounts)) {
            weights += accounts.get(name).weight();
        }
        return new FairShares(accounts, weights, capacity.minus(usage(NO_ACCOUNT)));
    }

    private Set<String> activeAccounts(Set<String> waitingAccounts) {
        Set<String> active = new HashSet<>(usage.keySet());
        active.addAll(waitingAccounts);
        active.retainAll(accounts.keySet());
        return active;
    }

    /**
     * The shares of the accounts with work, by weighted dominant resource fairness (Ghodsi et al., NSDI 2011): the share
     * of an account is that of the resource of which it holds the largest part, and the parts of all accounts are in
     * proportion to their weights. Immutable.
     *
     * @param accounts accounts by name
     * @param weights sum of the weights of the accounts that have work
     * @param capacity what the workers have beside the tasks of jobs without an account
     */
    record FairShares(Map<String, Account> accounts, double weights, Resources capacity) {
        /**
         * An account is beyond its share only from this factor on. Tasks are of different sizes, so exact shares would
         * change the order of jobs on each full service, also without a burst.
         */
        private static final double TOLERANCE = 1.25;

        /** Returns whether a task leaves its account, which holds {@code used}, within its share. */
        boolean covers(TaskEntry task, Resources used) {
            Account account = accounts.get(task.job.spec.account());
            return account == null
                    || dominantShare(used.plus(task.step.demand())) * weights <= TOLERANCE * account.weight()
                    || used.equals(Resources.NONE);
        }

        private double dominantShare(Resources held) {
            return Math.max(
                    fraction(held.milliCores(), capacity.milliCores()),
                    Math.max(
                            fraction(held.memoryMiB(), capacity.memoryMiB()),
                            fraction(held.accelerators(), capacity.accelerators())));
        }

        private static double fraction(long held, long available) {
            return held == 0 ? 0 : (double) held / Math.max(1, available);
        }
    }
}
