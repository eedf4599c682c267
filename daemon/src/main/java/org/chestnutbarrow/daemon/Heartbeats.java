package org.chestnutbarrow.daemon;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.logging.Repeating;
import org.chestnutbarrow.membership.FreshnessGate;
import org.chestnutbarrow.membership.PeerChange;
import org.chestnutbarrow.membership.PeerRegistry;
import org.chestnutbarrow.membership.PeerReport;
import org.chestnutbarrow.membership.ReachabilityTracker;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.peer.PeerLink;
import org.chestnutbarrow.peer.PeerMessage.Heartbeat;
import org.chestnutbarrow.peer.PeerMessage.WorkerCapacity;

/**
 * Exchanges heartbeats with every configured peer. Safe for use by several threads.
 *
 * <p>A heartbeat is a request, and the answer is a heartbeat without workers. {@link PeerRegistry} takes the requests;
 * {@link FreshnessGate} takes the answers only, because the time of the own request bounds the age of an answer.
 */
final class Heartbeats implements AutoCloseable {
    /** Interval between heartbeats to a peer. */
    static final Duration INTERVAL = Duration.ofMillis(250);

    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(500);

    private final DaemonId self;
    private final long incarnation;
    private final PeerRegistry peers;
    private final FreshnessGate gate;
    private final ReachabilityTracker contacts;
    private final TeamUse teams;
    private final LeaseEpochs leaseEpochs;
    private final PeerLink link;
    private final Supplier<List<WorkerCapacity>> rooms;
    private final LongSupplier version;
    private final TimeSource time;
    private final ExecutorService calls = Executors.newVirtualThreadPerTaskExecutor();
    private final Set<DaemonId> underWay = ConcurrentHashMap.newKeySet();
    private Set<DaemonId> alive = Set.of();
    private volatile boolean leaving;
    private volatile Repeating timer;

    Heartbeats(
            DaemonId self,
            long incarnation,
            PeerRegistry peers,
            FreshnessGate gate,
            ReachabilityTracker contacts,
            TeamUse teams,
            LeaseEpochs leaseEpochs,
            PeerLink link,
            Supplier<List<WorkerCapacity>> rooms,
            LongSupplier version,
            TimeSource time) {
        this.self = self;
        this.incarnation = incarnation;
        this.peers = peers;
        this.gate = gate;
        this.contacts = contacts;
        this.teams = teams;
        this.leaseEpochs = leaseEpochs;
        this.link = link;
        this.rooms = rooms;
        this.version = version;
        this.time = time;
    }

    /** Begins to send. */
    void start() {
        timer = new Repeating("heartbeats", INTERVAL, this::send);
    }

    /** Sends one heartbeat to each peer that has answered or timed out since the one before. */
    void send() {
        logSuspected();
        Heartbeat heartbeat = heartbeat(rooms.get());
        for (DaemonId peer : peers.others()) {
            if (underWay.add(peer)) {
                calls.execute(() -> exchange(peer, heartbeat));
            }
        }
    }

    private synchronized void logSuspected() {
        Set<DaemonId> now = peers.alive();
        for (DaemonId daemon : alive) {
            if (!now.contains(daemon)) {
                Events.warn("peer-not-alive", "peer", daemon);
            }
        }
        alive = now;
    }

    /** Tells the peers that this daemon is shutting down, now and in all later heartbeats. */
    void leave() {
        leaving = true;
        send();
    }

    /** Answers the heartbeat of a peer. */
    Heartbeat answer(DaemonId from, Heartbeat request) {
        if (from.equals(request.daemon())) {
            contacts.onRequest(from, request.position());
            teams.heard(from, request.teamUsage());
            leaseEpochs.heard(from, request.workers());
            log(peers.onHeartbeat(report(request)));
        } else {
            Events.warn("heartbeat-ignored", "from", from, "daemon", request.daemon(), "reason", "other-sender");
        }
        return heartbeat(List.of());
    }

    @Override
    public void close() {
        if (timer != null) {
            timer.close();
        }
        calls.shutdownNow();
    }

    private void exchange(DaemonId peer, Heartbeat heartbeat) {
        try {
            long requestedAt = time.nanos();
            if (link.call(peer, heartbeat, ANSWER_TIMEOUT) instanceof Heartbeat answer
                    && answer.daemon().equals(peer)) {
                contacts.onAnswer(peer, requestedAt, answer.position(), answer.suspectedDaemons());
                gate.onHeartbeat(report(answer), requestedAt);
            }
        } catch (NotRunException | OutcomeUnknownException e) {
            // A silent peer is logged once, when it is no longer alive, and not for each heartbeat.
            return;
        } finally {
            underWay.remove(peer);
        }
    }

    private Heartbeat heartbeat(List<WorkerCapacity> workers) {
        return new Heartbeat(
                self,
                incarnation,
                leaving,
                gate.position(),
                gate.ownLogAge(),
                gate.logReadable(),
                version.getAsLong(),
                workers,
                contacts.silentPeers(gate.position()),
                teams.use());
    }

    private static PeerReport report(Heartbeat h) {
        Map<WorkerId, Resources> rooms = new HashMap<>();
        h.workers().forEach(room -> rooms.put(room.worker(), room.free()));
        return new PeerReport(h.daemon(), h.incarnation(), h.leaving(), h.position(), h.logAge(), h.logReadable(), rooms);
    }

    private static void log(PeerChange change) {
        switch (change) {
            case PeerChange.Unchanged unchanged -> {}
            case PeerChange.Joined j -> Events.info("peer-joined", "peer", j.daemon(), "incarnation", j.incarnation());
            case PeerChange.Restarted r ->
                Events.warn("peer-restarted", "peer", r.daemon(), "incarnation", r.incarnation());
            case PeerChange.Leaving l -> Events.info("peer-leaving", "peer", l.daemon());
            case PeerChange.Ignored i ->
                Events.warn("heartbeat-ignored", "peer", i.daemon(), "incarnation", i.incarnation());
        }
    }
}
