package org.chestnutbarrow.membership;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.WorkerId;

/**
 * The last heartbeat from each configured daemon and the liveness that follows from it. Thread-safe; each peer has its
 * own lock.
 *
 * <p>The answers are hints. Two daemons may disagree about which daemons are alive; this leads to a refused lease but
 * breaks no invariant.
 *
 * <pre>{@code
 * PeerChange change = peers.onHeartbeat(report);
 * Set<DaemonId> owners = peers.eligible();
 * }</pre>
 */
public final class PeerRegistry {
    /** Time without a heartbeat after which a daemon is considered dead. */
    public static final Duration SUSPECT_TIMEOUT = Duration.ofSeconds(1);

    private final DaemonId self;
    private final TimeSource time;
    private final Map<DaemonId, Peer> peers;

    /**
     * Creates a registry that has not received any heartbeat.
     *
     * @param configured all daemons of the deployment, including this one
     */
    public PeerRegistry(DaemonId self, Collection<DaemonId> configured, TimeSource time) {
        Checks.require(configured.contains(self), "the configured daemons must include this one");
        this.self = self;
        this.time = time;
        Map<DaemonId, Peer> peersById = new HashMap<>();
        for (DaemonId daemon : configured) {
            if (!daemon.equals(self)) {
                peersById.put(daemon, new Peer());
            }
        }
        this.peers = Map.copyOf(peersById);
    }

    /** Returns the configured daemons other than this one. */
    public Set<DaemonId> others() {
        return peers.keySet();
    }

    /** Records a heartbeat that has just arrived and returns what it changed. */
    public PeerChange onHeartbeat(PeerReport report) {
        Peer peer = peers.get(report.daemon());
        if (peer == null) {
            return new PeerChange.Ignored(report.daemon(), report.incarnation());
        }
        return peer.onHeartbeat(report, time.nanos());
    }

    /**
     * Returns the daemons that sent a heartbeat within {@link #SUSPECT_TIMEOUT} and are not leaving, in sorted order.
     * The set always includes this daemon.
     */
    public Set<DaemonId> alive() {
        Set<DaemonId> alive = new TreeSet<>();
        alive.add(self);
        peers.keySet().forEach(daemon -> liveReport(daemon).ifPresent(report -> alive.add(daemon)));
        return alive;
    }

    /**
     * Returns the live daemons that workers may be handed over to, in sorted order. The set always includes this
     * daemon.
     *
     * <p>A daemon that is still catching up with the log is alive but does not claim workers. Such a daemon has never
     * read the end of the log, or can read the log but has not reached its end within
     * {@link FreshnessGate#MAX_LOG_AGE}.
     */
    public Set<DaemonId> eligible() {
        Set<DaemonId> eligible = new TreeSet<>();
        eligible.add(self);
        for (DaemonId daemon : peers.keySet()) {
            liveReport(daemon).filter(PeerRegistry::hasCaughtUp).ifPresent(report -> eligible.add(daemon));
        }
        return eligible;
    }

    /** Returns the last report of a live peer, or empty if the peer is silent, leaving or not configured. */
    public Optional<PeerReport> liveReport(DaemonId daemon) {
        return recentReport(daemon).filter(report -> !report.leaving());
    }

    /**
     * Returns a peer whose last report lists the worker as held. A leaving peer is included until it has released the
     * worker.
     */
    public Optional<DaemonId> holderOf(WorkerId worker) {
        for (DaemonId daemon : peers.keySet()) {
            if (recentReport(daemon)
                    .filter(report -> report.freeByWorker().containsKey(worker))
                    .isPresent()) {
                return Optional.of(daemon);
            }
        }
        return Optional.empty();
    }

    /** Returns the free capacity that live peers report for the workers that they hold, by peer and worker. */
    public Map<DaemonId, Map<WorkerId, Resources>> freeCapacity() {
        Map<DaemonId, Map<WorkerId, Resources>> freeByPeer = new HashMap<>();
        for (DaemonId daemon : peers.keySet()) {
            liveReport(daemon).ifPresent(report -> freeByPeer.put(daemon, report.freeByWorker()));
        }
        return freeByPeer;
    }

    private Optional<PeerReport> recentReport(DaemonId daemon) {
        Peer peer = peers.get(daemon);
        return peer == null ? Optional.empty() : peer.recentReport(time.nanos(), SUSPECT_TIMEOUT.toNanos());
    }

    private static boolean hasCaughtUp(PeerReport report) {
        return report.logAge()
                .filter(age -> !report.logReadable() || age.compareTo(FreshnessGate.MAX_LOG_AGE) < 0)
                .isPresent();
    }
}
