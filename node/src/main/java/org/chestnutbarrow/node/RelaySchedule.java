package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides when an owner reads the members of the group for its relays, and which relays follow from it. The store lists
 * only members that hold a partition, and hands a partition over some calls to join after the change of the group, so a
 * read during that time may lack members. Used by one thread at a time.
 *
 * <p>Invariant: after each change of the group the members are read at once, and once more after the time that a handover
 * usually takes; only the later read removes relays.
 */
final class RelaySchedule {
    private final Duration handoverTime;
    private Map<String, RelayEndpoint> relays = Map.of();
    private long generation = -1;
    private long changedAt;
    private boolean settled;

    /** Creates a schedule without relays; {@code handoverTime} is the time that a handover of partitions usually takes. */
    RelaySchedule(Duration handoverTime) {
        this.handoverTime = handoverTime;
    }

    /** Returns whether the members are to be read, given the latest generation and the time in ns. */
    boolean isDue(long latestGeneration, long now) {
        return latestGeneration != generation || (!settled && isHandoverOver(now));
    }

    /**
     * Records a read of the members that began after the store had returned this generation, and returns the relays to
     * use.
     */
    Map<String, RelayEndpoint> read(long readGeneration, Map<String, RelayEndpoint> listed, long now) {
        if (readGeneration != generation) {
            generation = readGeneration;
            changedAt = now;
            settled = false;
        } else {
            settled = isHandoverOver(now);
        }
        Map<String, RelayEndpoint> next = new HashMap<>(settled ? Map.of() : relays);
        next.putAll(listed);
        relays = Map.copyOf(next);
        return relays;
    }

    private boolean isHandoverOver(long now) {
        return now - changedAt >= handoverTime.toNanos();
    }
}
