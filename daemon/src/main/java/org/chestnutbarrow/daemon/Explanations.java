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

/** What this daemon and its peers have decided on a request or job. Safe for use by several threads. */
final class Explanations {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final RecentDecisions requests;
    private final JobRunner jobs;
    private final PeerLink link;
    private final Supplier<? extends Iterable<DaemonId>> peers;

    Explanations(
            RecentDecisions requests, JobRunner jobs, PeerLink link, Supplier<? extends Iterable<DaemonId>> peers) {
        this.requests = requests;
        this.jobs = jobs;
        this.link = link;
        this.peers = peers;
    }

    /** Lines that this daemon has. */
    List<String> local(String id) {
        List<String> lines = new ArrayList<>();
        requests.get(id).ifPresent(lines::add);
        jobs.explain(new JobId(id)).ifPresent(job -> lines.addAll(lines(job)));
        return lines;
    }

    /** Lines that this daemon has, or else those of the first peer that has any. */
    List<String> any(String id) {
        List<String> own = local(id);
        if (!own.isEmpty()) {
            return own;
        }
        for (DaemonId peer : peers.get()) {
            try {
                if (link.call(peer, new PeerMessage.Explain(id), TIMEOUT) instanceof PeerMessage.Explanation found
                        && !found.lines().isEmpty()) {
                    return found.lines();
                }
            } catch (NotRunException | OutcomeUnknownException e) {
                Events.info("peer-not-asked", "peer", peer, "reason", e.getMessage());
            }
        }
        return own;
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
