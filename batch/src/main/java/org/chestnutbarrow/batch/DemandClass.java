package org.chestnutbarrow.batch;

/**
 * The tasks with one requirement, and up to when it is known that no worker can take them. Guarded by the lock of its
 * {@link Cell}.
 */
final class DemandClass {
    private static final long UNTRIED = -1;

    final Requirement requirement;
    private long missedAt = UNTRIED;

    DemandClass(Requirement requirement) {
        this.requirement = requirement;
    }

    /** Whether no worker could take the tasks at {@link #missedAt}. */
    boolean missed() {
        return missedAt != UNTRIED;
    }

    /** The change of the workers, as counted by {@link WorkerIndex}, after which no worker could take the tasks. */
    long missedAt() {
        return missedAt;
    }

    /** No worker can take the tasks until one changes after {@code change}. */
    void miss(long change) {
        missedAt = change;
    }

    /** A worker may be able to take the tasks. */
    void retry() {
        missedAt = UNTRIED;
    }
}
