package org.chestnutbarrow.daemon;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.peer.PeerMessage.WorkerCapacity;

/** Epochs of the leases that peers hold, as their last heartbeats told. Safe for use by several threads. */
final class LeaseEpochs {
    private final Map<DaemonId, Map<WorkerId, Long>> byPeer = new ConcurrentHashMap<>();

    /** Takes what a peer told. */
    void heard(DaemonId peer, List<WorkerCapacity> rooms) {
        Map<WorkerId, Long> epochs = new HashMap<>();
        rooms.forEach(room -> epochs.put(room.worker(), room.epoch()));
        byPeer.put(peer, Map.copyOf(epochs));
    }

    /** The epoch of a peer's lease; 0, which no lease has, if the peer told of none. */
    long get(DaemonId peer, WorkerId worker) {
        return byPeer.getOrDefault(peer, Map.of()).getOrDefault(worker, 0L);
    }
}
