package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.Comparator;
import java.util.Map;
import org.chestnutbarrow.batch.TaskRecord.WorkerIncarnation;

/**
 * The owner of the workers as recorded in the store. Immutable.
 *
 * @param member id of the owner in the group
 * @param token fencing token of the term
 * @param relayKey secret with which the owner proves itself to relays; empty if it uses none
 * @param remainingLeases how long leases of worker incarnations may still be valid, for the direct successor of an owner
 *     that has stopped to extend them; empty before
 */
record OwnerRecord(String member, long token, String relayKey, Map<WorkerIncarnation, Duration> remainingLeases) {
    OwnerRecord {
        remainingLeases = Map.copyOf(remainingLeases);
    }

    /** Creates the record of an owner that extends leases. */
    OwnerRecord(String member, long token, String relayKey) {
        this(member, token, relayKey, Map.of());
    }

    /** Creates the record of an owner without relays. */
    OwnerRecord(String member, long token) {
        this(member, token, "");
    }

    /**
     * Returns this record without the longest remaining leases, as far as that is needed for a size of {@code maxBytes}. The
     * next owner assumes the longest possible lease for incarnations that it lacks.
     */
    OwnerRecord fitting(int maxBytes) {
        int otherBytes = StateCodec.encode(new OwnerRecord(member, token, relayKey)).length;
        return new OwnerRecord(
                member,
                token,
                relayKey,
                StateCodec.fitting(remainingLeases, Comparator.naturalOrder(), otherBytes, maxBytes));
    }

    /** Returns the record that an owner stores last. */
    OwnerRecord closed(Map<WorkerIncarnation, Duration> remaining) {
        return new OwnerRecord(member, token, relayKey, remaining);
    }
}
