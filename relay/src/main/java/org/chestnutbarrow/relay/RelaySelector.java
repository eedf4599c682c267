package org.chestnutbarrow.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.node.RelayEndpoint;

/**
 * Decides through which relay a worker is called. Relays in the zone of the worker come first; among them the workers
 * are distributed by rendezvous hashing, so that a change of the relays moves few workers. Safe for use by several
 * threads, under its own lock.
 *
 * <p>Invariant: a relay that has not answered is not chosen for {@link #SUSPENSION}, and a worker that could not be
 * reached through one relay is called through another one next.
 */
final class RelaySelector {
    /** How long a relay that has not answered is not chosen. */
    static final Duration SUSPENSION = Duration.ofSeconds(3);
    /**
     * A relay is suspended only if it has been silent for this time. When this process itself is late, calls through
     * all relays time out although the relays have just answered other calls.
     */
    static final Duration MAX_SILENCE = Duration.ofSeconds(1);

    private final Map<String, RelayState> relays = new HashMap<>();
    /** Number of times that a worker could not be reached through its relay. */
    private final Map<WorkerId, Integer> detours = new HashMap<>();

    /** A relay with the times of its last answer and of the end of its suspension, ns. */
    private static final class RelayState {
        final RelayEndpoint endpoint;
        long answeredAt;
        long suspendedUntil;

        RelayState(RelayEndpoint endpoint, long now) {
            this.endpoint = endpoint;
            this.answeredAt = now;
            this.suspendedUntil = now;
        }
    }

    /** Sets the relays by their names; those that stay keep their state. */
    synchronized void setRelays(Map<String, RelayEndpoint> newRelays, long now) {
        relays.keySet().retainAll(newRelays.keySet());
        newRelays.forEach((name, endpoint) -> {
            RelayState known = relays.get(name);
            if (known == null || !known.endpoint.equals(endpoint)) {
                relays.put(name, new RelayState(endpoint, now));
            }
        });
        detours.clear();
    }

    /** Returns the name of the relay for a worker; empty if no relay is available. */
    synchronized Optional<String> choose(WorkerId worker, AvailabilityZone zone, long now) {
        int detour = detours.getOrDefault(worker, 0);
        Comparator<Map.Entry<String, RelayState>> order = Comparator.comparing((Map.Entry<String, RelayState> relay) ->
                        !relay.getValue().endpoint.zone().equals(zone))
                .thenComparing(relay -> weight(worker, relay.getKey()));
        List<Map.Entry<String, RelayState>> available = new ArrayList<>();
        for (Map.Entry<String, RelayState> relay : relays.entrySet()) {
            if (now - relay.getValue().suspendedUntil >= 0) {
                available.add(relay);
            }
        }
        if (available.isEmpty()) {
            return Optional.empty();
        }
        if (detour == 0) {
            return available.stream().min(order).map(Map.Entry::getKey);
        }
        available.sort(order);
        return Optional.of(available.get(detour % available.size()).getKey());
    }

    /** Returns a pseudo-random number that depends on the worker and the relay only. */
    private static int weight(WorkerId worker, String relay) {
        int hash = 31 * worker.hashCode() + relay.hashCode();
        hash = (hash ^ (hash >>> 16)) * 0x7feb352d;
        hash = (hash ^ (hash >>> 15)) * 0x846ca68b;
        return hash ^ (hash >>> 16);
    }

    /** Records that a relay has answered, whatever it said of the worker. */
    synchronized void answered(String relay, long now) {
        RelayState state = relays.get(relay);
        if (state != null) {
            state.answeredAt = now;
        }
    }

    /** Records that a relay could not be reached or has not answered; returns whether it is suspended for that. */
    synchronized boolean failed(String relay, long now) {
        RelayState state = relays.get(relay);
        if (state == null || now - state.answeredAt < MAX_SILENCE.toNanos()) {
            return false;
        }
        boolean first = now - state.suspendedUntil >= 0;
        state.suspendedUntil = now + SUSPENSION.toNanos();
        return first;
    }

    /** Records that a relay could not reach a worker. */
    synchronized void workerUnreachable(WorkerId worker) {
        detours.merge(worker, 1, Integer::sum);
    }
}
