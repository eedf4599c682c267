package org.chestnutbarrow.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chestnutbarrow.model.TimeSource;

/**
 * The group that deals out partitions to its members. Thread-safe; all state is guarded by the monitor of this object.
 *
 * <p>Invariants: each partition belongs to one member, and the numbers of two members differ by one at most; each change
 * raises the generation; a member that is silent for its time to live is removed before any call is answered.
 */
final class OwnerGroup {
    /** As many as there are nodes at most for each topic, so that each member holds a partition. */
    static final int PARTITIONS_PER_TOPIC = 4;

    /** A partition of a topic. */
    record Part(String topic, int partition) {}

    /** What a member was dealt. */
    record Dealt(long generation, List<Part> parts) {}

    /** A partition and its member. */
    record Owned(Part part, String member) {}

    private record Membership(Duration ttl, long renewedAt) {}

    private final TimeSource time;
    private final List<Part> parts = new ArrayList<>();
    private final Map<String, Membership> members = new LinkedHashMap<>();
    private final Map<Long, Map<Part, String>> deals = new HashMap<>();
    private long generation = 1;
    private int rotation;

    OwnerGroup(TimeSource time, List<String> topics) {
        this.time = time;
        for (int partition = 0; partition < PARTITIONS_PER_TOPIC; partition++) {
            for (String topic : topics) {
                parts.add(new Part(topic, partition));
            }
        }
        deal();
    }

    /** Joins or renews a membership. */
    synchronized Dealt join(String member, Duration ttl) {
        expire();
        if (members.put(member, new Membership(ttl, time.nanos())) == null) {
            deal();
        }
        List<Part> dealt = new ArrayList<>();
        deals.get(generation).forEach((part, owner) -> {
            if (owner.equals(member)) {
                dealt.add(part);
            }
        });
        return new Dealt(generation, dealt);
    }

    synchronized void leave(String member) {
        expire();
        if (members.remove(member) != null) {
            deal();
        }
    }

    /** Returns all partitions with their members. */
    synchronized List<Owned> owners() {
        expire();
        return deals.get(generation).entrySet().stream()
                .map(entry -> new Owned(entry.getKey(), entry.getValue()))
                .toList();
    }

    /** Gives all partitions to other members, if there are several. */
    synchronized void reassignAll() {
        expire();
        rotation++;
        deal();
    }

    /** Returns the member that held a partition, by its place in the order of the deals, in a generation. */
    synchronized Optional<String> memberAt(long atGeneration, int partIndex) {
        return Optional.ofNullable(deals.get(atGeneration)).map(deal -> deal.get(parts.get(partIndex)));
    }

    private void expire() {
        long now = time.nanos();
        if (members.values().removeIf(m -> now - m.renewedAt() > m.ttl().toNanos())) {
            deal();
        }
    }

    private void deal() {
        generation++;
        Map<Part, String> deal = new LinkedHashMap<>();
        List<String> ids = List.copyOf(members.keySet());
        for (int i = 0; i < parts.size() && !ids.isEmpty(); i++) {
            deal.put(parts.get(i), ids.get((i + rotation) % ids.size()));
        }
        deals.put(generation, deal);
    }
}
