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
 * What was heard from each configured daemon. Safe for use by several threads: each peer has its own lock.
 *
 * <p>The answers are hints: two daemons may disagree on who is alive, which costs a refused lease and no invariant.
 *
 * <pre>{@code
 * PeerChange change = peers.heard(report);
 * Set<DaemonId> owners = peers.eligible();
 * }</pre>
 */
public final class Peers {
    /** Silence after which a daemon is taken for dead. */
    public static final Duration SUSPECTED_AFTER = Duration.ofSeconds(1);

    private final DaemonId self;
    private final TimeSource time;
    private final Map<DaemonId, Peer> peers;

    /**
     * Creates a view in which nobody was heard yet.
     *
     * @param configured all daemons of the deployment, this one included
     */
    public Peers(DaemonId self, Collection<DaemonId> configured, TimeSource time) {
        Checks.require(configured.contains(self), "the configured daemons must include this one");
        this.self = self;
        this.time = time;
        Map<DaemonId, Peer> all = new HashMap<>();
        for (DaemonId daemon : configured) {
            if (!daemon.equals(self)) {
                all.put(daemon, new Peer());
            }
        }
        this.peers = Map.copyOf(all);
    }

    /** The configured daemons other than this one. */
    public Set<DaemonId> others() {
        return peers.keySet();
    }

    /** Takes a heartbeat that has just arrived. */
    public PeerChange heard(PeerReport report) {
        Peer peer = peers.get(report.daemon());
        if (peer == null) {
            return new PeerChange.Ignored(report.daemon(), report.incarnation());
        }
        return peer.heard(report, time.nanos());
    }

    /** Daemons heard within {@link #SUSPECTED_AFTER} and not leaving; always includes this one. Sorted. */
    public Set<DaemonId> alive() {
        Set<DaemonId> alive = new TreeSet<>();
        alive.add(self);
        peers.keySet().forEach(daemon -> report(daemon).ifPresent(report -> alive.add(daemon)));
        return alive;
    }

    /**
     * Live daemons that workers may be handed to; always includes this one. Sorted.
     *
     * <p>A daemon that is still catching up with the log is alive but refuses to claim workers. It shows by never having
     * read the end of the log, or by reading without having reached the end within the freshness bound.
     */
    public Set<DaemonId> eligible() {
        Set<DaemonId> eligible = new TreeSet<>();
        eligible.add(self);
        for (DaemonId daemon : peers.keySet()) {
            report(daemon).filter(Peers::caughtUp).ifPresent(report -> eligible.add(daemon));
        }
        return eligible;
    }

    /** The last report of a live peer; empty if it is silent, leaving or not configured. */
    public Optional<PeerReport> report(DaemonId daemon) {
        return recent(daemon).filter(report -> !report.leaving());
    }

    /** A peer whose last report lists the worker as held; a leaving peer counts until it has released it. */
    public Optional<DaemonId> holder(WorkerId worker) {
        for (DaemonId daemon : peers.keySet()) {
            if (recent(daemon).filter(r -> r.rooms().containsKey(worker)).isPresent()) {
                return Optional.of(daemon);
            }
        }
        return Optional.empty();
    }

    /** What live peers have free, by peer and worker. */
    public Map<DaemonId, Map<WorkerId, Resources>> rooms() {
        Map<DaemonId, Map<WorkerId, Resources>> rooms = new HashMap<>();
        for (DaemonId daemon : peers.keySet()) {
            report(daemon).ifPresent(report -> rooms.put(daemon, report.rooms()));
        }
        return rooms;
    }

    private Optional<PeerReport> recent(DaemonId daemon) {
        Peer peer = peers.get(daemon);
        return peer == null ? Optional.empty() : peer.recent(time.nanos(), SUSPECTED_AFTER.toNanos());
    }

    private static boolean caughtUp(PeerReport report) {
        return report.logAge()
                .filter(age -> !report.readsLog() || age.compareTo(FreshnessGate.BOUND) < 0)
                .isPresent();
    }
}
