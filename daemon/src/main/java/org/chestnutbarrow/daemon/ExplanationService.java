package org.chestnutbarrow.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.peer.PeerLink;
import org.chestnutbarrow.peer.PeerMessage;
import org.chestnutbarrow.placement.JobExplanation;

/** Explains the decisions of this daemon and its peers on a request or job. Safe for use by several threads. */
final class ExplanationService {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

    private final RecentDecisions recentDecisions;
    private final PlacementExecutor placementExecutor;
    private final PeerLink link;
    private final Supplier<? extends Iterable<DaemonId>> peers;

    ExplanationService(
            RecentDecisions recentDecisions,
            PlacementExecutor placementExecutor,
            PeerLink link,
            Supplier<? extends Iterable<DaemonId>> peers) {
        this.recentDecisions = recentDecisions;
        this.placementExecutor = placementExecutor;
        this.link = link;
        this.peers = peers;
    }

    /** Returns the lines of this daemon about a request or job. */
    List<String> explainLocally(String id) {
        List<String> lines = new ArrayList<>();
        recentDecisions.get(id).ifPresent(lines::add);
        placementExecutor.explain(new JobId(id)).ifPresent(job -> lines.addAll(lines(job)));
        return lines;
    }

    /** Returns the lines of this daemon, or those of the first peer that has any if this daemon has none. */
    List<String> explain(String id) {
        List<String> localLines = explainLocally(id);
        if (!localLines.isEmpty()) {
            return localLines;
        }
        for (DaemonId peer : peers.get()) {
            try {
                if (link.call(peer, new PeerMessage.Explain(id), CALL_TIMEOUT)
                                instanceof PeerMessage.Explanation explanation
                        && !explanation.lines().isEmpty()) {
                    return explanation.lines();
                }
            } catch (NotRunException | OutcomeUnknownException e) {
                Events.info("peer-not-asked", "peer", peer, "reason", e.getMessage());
            }
        }
        return localLines;
    }

    private static List<String> lines(JobExplanation job) {
        List<String> lines = new ArrayList<>();
        lines.add("state: " + job.state());
        lines.add("waiting tasks: " + (job.waiting().isEmpty() ? "none" : job.waiting()));
        lines.addAll(job.tasks());
        lines.addAll(job.decisions());
        return lines;
    }
}
