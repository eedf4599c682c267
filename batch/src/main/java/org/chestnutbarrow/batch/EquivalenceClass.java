package org.chestnutbarrow.batch;

import java.time.Duration;

/**
 * All tasks with the same requirement, which therefore fit on the same workers. Caches the latest index change at which
 * no worker could take them. Guarded by the lock of its {@link BatchScheduler}.
 */
final class EquivalenceClass {
    private static final long NOT_INFEASIBLE = -1;

    final Requirement requirement;
    private long infeasibleAtChange = NOT_INFEASIBLE;
    private long unclaimableAtChange = NOT_INFEASIBLE;
    private boolean placed;
    private long placedAt;

    EquivalenceClass(Requirement requirement) {
        this.requirement = requirement;
    }

    /** Returns whether no worker could take the tasks at {@link #infeasibleAtChange}. */
    boolean isInfeasible() {
        return infeasibleAtChange != NOT_INFEASIBLE;
    }

    /** Returns the change number of {@link WorkerIndex} as of which no worker could take the tasks. */
    long infeasibleAtChange() {
        return infeasibleAtChange;
    }

    /** Records that no worker can take the tasks as of {@code change}. */
    void markInfeasible(long change) {
        infeasibleAtChange = change;
    }

    /** Records that a worker was found for one of the tasks. */
    void markPlaced(long now) {
        placed = true;
        placedAt = now;
    }

    /** Returns whether a worker was found for one of the tasks within a time. */
    boolean placedWithin(Duration duration, long now) {
        return placed && now - placedAt < duration.toNanos();
    }

    /** Returns the change as of which no worker could keep room for the tasks, or a negative number if one may. */
    long unclaimableAtChange() {
        return unclaimableAtChange;
    }

    /** Records that no worker can keep room for the tasks as of {@code change}. */
    void markUnclaimable(long change) {
        unclaimableAtChange = change;
    }

    /** Records that some worker may be able to take the tasks. */
    void clearInfeasible() {
        infeasibleAtChange = NOT_INFEASIBLE;
    }
}
