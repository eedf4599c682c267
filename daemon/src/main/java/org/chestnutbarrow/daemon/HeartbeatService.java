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
import org.chestnutbarrow.logging.PeriodicTask;
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
 * <p>A heartbeat is a request, and its answer is a heartbeat without workers. {@link PeerRegistry} is updated from
 * requests. {@link FreshnessGate} is updated from answers only, because the age of an answer is bounded by the time
 * since this daemon sent the request.
 */
final class HeartbeatService implements AutoCloseable {
    /** Interval at which heartbeats are sent to each peer. */
    static final Duration INTERVAL = Duration.ofMillis(250);

    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(500);

    private final DaemonId self;
    private final long incarnation;
    private final PeerRegistry peerRegistry;
    private final FreshnessGate gate;
    private final ReachabilityTracker reachability;
    private final TeamUsage teamUse;
    private final LeaseEpochs leaseEpochs;
    private final PeerLink link;
    private final Supplier<List<WorkerCapacity>> workerCapacities;
    private final LongSupplier configurationVersion;
    private final TimeSource time;
    private final ExecutorService calls = Executors.newVirtualThreadPerTaskExecutor();
    private final Set<DaemonId> inFlight = ConcurrentHashMap.newKeySet();
    private Set<DaemonId> previouslyAlive = Set.of();
    private volatile boolean shuttingDown;
    private volatile PeriodicTask timer;

    HeartbeatService(
            DaemonId self,
            long incarnation,
            PeerRegistry peerRegistry,
            FreshnessGate gate,
            ReachabilityTracker reachability,
            TeamUsage teamUse,
            LeaseEpochs leaseEpochs,
            PeerLink link,
            Supplier<List<WorkerCapacity>> workerCapacities,
            LongSupplier configurationVersion,
            TimeSource time) {
        this.self = self;
        this.incarnation = incarnation;
        this.peerRegistry = peerRegistry;
        this.gate = gate;
        this.reachability = reachability;
        this.teamUse = teamUse;
        this.leaseEpochs = leaseEpochs;
        this.link = link;
        this.workerCapacities = workerCapacities;
        this.configurationVersion = configurationVersion;
        this.time = time;
    }

    /** Starts to send heartbeats periodically. */
    void start() {
        timer = new PeriodicTask("heartbeats", INTERVAL, this::send);
    }

    /** Sends a heartbeat to each peer that has no heartbeat in flight. */
    void send() {
        logDeadPeers();
        Heartbeat heartbeat = createHeartbeat(workerCapacities.get());
        for (DaemonId peer : peerRegistry.others()) {
            if (inFlight.add(peer)) {
                calls.execute(() -> callPeer(peer, heartbeat));
            }
        }
    }

    private synchronized void logDeadPeers() {
        Set<DaemonId> nowAlive = peerRegistry.alive();
        for (DaemonId daemon : previouslyAlive) {
            if (!nowAlive.contains(daemon)) {
                Events.warn("peer-not-alive", "peer", daemon);
            }
        }
        previouslyAlive = nowAlive;
    }

    /** Sends a heartbeat at once and announces in it and all later heartbeats that this daemon is shutting down. */
    void announceShutdown() {
        shuttingDown = true;
        send();
    }

    /** Processes the heartbeat of a peer and returns the answer. */
    Heartbeat answer(DaemonId from, Heartbeat request) {
        if (from.equals(request.daemon())) {
            reachability.onRequest(from, request.position());
            teamUse.update(from, request.teamUsage());
            leaseEpochs.update(from, request.workers());
            logChange(peerRegistry.onHeartbeat(toReport(request)));
        } else {
            Events.warn("heartbeat-ignored", "from", from, "daemon", request.daemon(), "reason", "other-sender");
        }
        return createHeartbeat(List.of());
    }

    @Override
    public void close() {
        if (timer != null) {
            timer.close();
        }
        calls.shutdownNow();
    }

    private void callPeer(DaemonId peer, Heartbeat heartbeat) {
        try {
            long requestedAt = time.nanos();
            if (link.call(peer, heartbeat, ANSWER_TIMEOUT) instanceof Heartbeat answer
                    && answer.daemon().equals(peer)) {
                reachability.onAnswer(peer, requestedAt, answer.position(), answer.suspectedDaemons());
                gate.onHeartbeat(toReport(answer), requestedAt);
            }
        } catch (NotRunException | OutcomeUnknownException e) {
            // A peer that does not answer is logged once, when it is no longer alive, and not for each heartbeat.
            return;
        } finally {
            inFlight.remove(peer);
        }
    }

    private Heartbeat createHeartbeat(List<WorkerCapacity> workers) {
        return new Heartbeat(
                self,
                incarnation,
                shuttingDown,
                gate.position(),
                gate.ownLogAge(),
                gate.logReadable(),
                configurationVersion.getAsLong(),
                workers,
                reachability.silentPeers(gate.position()),
                teamUse.localUsage());
    }

    private static PeerReport toReport(Heartbeat heartbeat) {
        Map<WorkerId, Resources> freeByWorker = new HashMap<>();
        heartbeat.workers().forEach(worker -> freeByWorker.put(worker.worker(), worker.free()));
        return new PeerReport(
                heartbeat.daemon(),
                heartbeat.incarnation(),
                heartbeat.leaving(),
                heartbeat.position(),
                heartbeat.logAge(),
                heartbeat.logReadable(),
                freeByWorker);
    }

    private static void logChange(PeerChange change) {
        switch (change) {
            case PeerChange.Unchanged unchanged -> {}
            case PeerChange.Joined joined ->
                Events.info("peer-joined", "peer", joined.daemon(), "incarnation", joined.incarnation());
            case PeerChange.Restarted restarted ->
                Events.warn("peer-restarted", "peer", restarted.daemon(), "incarnation", restarted.incarnation());
            case PeerChange.Leaving leaving -> Events.info("peer-leaving", "peer", leaving.daemon());
            case PeerChange.Ignored ignored ->
                Events.warn("heartbeat-ignored", "peer", ignored.daemon(), "incarnation", ignored.incarnation());
        }
    }
}
