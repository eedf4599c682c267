package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import org.chestnutbarrow.model.TimeSource;

/**
 * The membership group of a store that hands a partition to its next member only after the previous one has called join
 * with the generation in which it lost the partition, has left, or has been silent for its membership timeout.
 * Thread-safe; guarded by the monitor of this object.
 */
final class HandoverGroup {
    /** A partition; {@code lostIn} is the generation in which the holder has lost it, if it is not the assigned member. */
    private record Partition(String holder, String assigned, long lostIn) {
        boolean isLost() {
            return !holder.equals(assigned);
        }

        Partition handedOver() {
            return new Partition(assigned, assigned, 0);
        }
    }

    private final TimeSource time;
    /** The members with the ends of their memberships, ns. */
    private final Map<String, Long> members = new TreeMap<>();

    private final List<Partition> partitions = new ArrayList<>();
    private long generation;

    HandoverGroup(int partitionCount, TimeSource time) {
        this.time = time;
        for (int i = 0; i < partitionCount; i++) {
            partitions.add(new Partition("", "", 0));
        }
    }

    synchronized StateStore.Membership join(String member, Duration ttl, long known) {
        removeSilent();
        boolean isNew = members.put(member, time.nanos() + ttl.toNanos()) == null;
        if (isNew) {
            reassign();
        }
        Set<Integer> held = new HashSet<>();
        for (int i = 0; i < partitions.size(); i++) {
            Partition partition = partitions.get(i);
            if (partition.isLost() && partition.holder().equals(member) && known >= partition.lostIn()) {
                partitions.set(i, partition.handedOver());
            } else if (!partition.isLost() && partition.holder().equals(member)) {
                held.add(i);
            }
        }
        return new StateStore.Membership(generation, held);
    }

    synchronized void leave(String member) {
        removeSilent();
        if (members.remove(member) != null) {
            reassign();
        }
    }

    /** Returns the members that hold a partition. */
    synchronized Set<String> holders() {
        removeSilent();
        Set<String> holders = new HashSet<>();
        partitions.forEach(partition -> holders.add(partition.holder()));
        holders.remove("");
        return holders;
    }

    private void removeSilent() {
        long now = time.nanos();
        if (members.values().removeIf(end -> end - now < 0)) {
            reassign();
        }
    }

    private void reassign() {
        generation++;
        List<String> order = List.copyOf(members.keySet());
        for (int i = 0; i < partitions.size(); i++) {
            Partition partition = partitions.get(i);
            String assigned = order.isEmpty() ? "" : order.get(i % order.size());
            if (!members.containsKey(partition.holder())) {
                partitions.set(i, new Partition(assigned, assigned, 0));
            } else if (!Objects.equals(partition.assigned(), assigned)) {
                partitions.set(i, new Partition(partition.holder(), assigned, generation));
            }
        }
    }
}
