package org.chestnutbarrow.daemon;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.peer.PeerMessage.WorkerCapacity;

/** Epochs of the leases that peers hold, from their latest heartbeats. Safe for use by several threads. */
final class LeaseEpochs {
    private final Map<DaemonId, Map<WorkerId, Long>> byPeer = new ConcurrentHashMap<>();

    /** Replaces the epochs of the leases that a peer holds. */
    void update(DaemonId peer, List<WorkerCapacity> workers) {
        Map<WorkerId, Long> epochs = new HashMap<>();
        workers.forEach(entry -> epochs.put(entry.worker(), entry.epoch()));
        byPeer.put(peer, Map.copyOf(epochs));
    }

    /** Returns the epoch of a peer's lease on a worker, or 0, which is never a valid epoch, if it reported none. */
    long get(DaemonId peer, WorkerId worker) {
        return byPeer.getOrDefault(peer, Map.of()).getOrDefault(worker, 0L);
    }
}
