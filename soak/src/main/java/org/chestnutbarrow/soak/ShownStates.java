package org.chestnutbarrow.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chestnutbarrow.soak.Observation.JobState;

/**
 * Checks R3: final states that clients were shown. Stateless.
 *
 * <p>A node answers from its last copy while the store does not answer (docs/design.md, section 0). So an earlier state at
 * a node that has not shown the final one itself is counted as stale and is no finding.
 */
final class ShownStates {
    /** Nodes keep an ended job for at least 120 s; clients may find it unknown later. */
    private static final Duration MIN_RETENTION = Duration.ofSeconds(100);

    private ShownStates() {}

    /** How an answer relates to the final state that was shown before. */
    private enum Verdict {
        CONSISTENT,
        /** Another node than all that have shown the final state shows an earlier one. */
        STALE,
        CONTRADICTION
    }

    /** The first final state that was shown of a job, by any node and by each one. */
    private static final class Shows {
        Optional<Observation.Shown> first = Optional.empty();
        final Map<String, Observation.Shown> firstByNode = new HashMap<>();
        final Map<JobState, Finding> findings = new EnumMap<>(JobState.class);
        int stale;

        void add(Observation.Shown shown) {
            Verdict verdict = verdict(shown);
            if (verdict == Verdict.STALE) {
                stale++;
            } else if (verdict == Verdict.CONTRADICTION) {
                String detail = format(first.orElseThrow()) + ", then " + format(shown);
                findings.putIfAbsent(shown.state(), new Finding(Finding.Rule.R3, "job " + shown.job(), detail));
            }
            if (shown.state().isFinal()) {
                first = first.or(() -> Optional.of(shown));
                firstByNode.putIfAbsent(shown.node(), shown);
            }
        }

        private Verdict verdict(Observation.Shown shown) {
            if (first.isEmpty()
                    || !isLater(shown, first.get())
                    || shown.state() == first.get().state()) {
                return Verdict.CONSISTENT;
            }
            return switch (shown.state()) {
                case UNKNOWN ->
                    shown.sentAt().minus(first.get().sentAt()).compareTo(MIN_RETENTION) > 0
                            ? Verdict.CONSISTENT
                            : Verdict.CONTRADICTION;
                case QUEUED, RUNNING -> {
                    Observation.Shown byNode = firstByNode.get(shown.node());
                    yield byNode != null && isLater(shown, byNode) ? Verdict.CONTRADICTION : Verdict.STALE;
                }
                case COMPLETED, FAILED, CANCELLED -> Verdict.CONTRADICTION;
            };
        }

        /** Only a query that was sent after an answer had arrived can contradict it. */
        private static boolean isLater(Observation.Shown shown, Observation.Shown before) {
            return shown.sentAt().compareTo(before.at()) > 0;
        }
    }

    private static Map<String, Shows> shows(List<Observation> history) {
        Map<String, Shows> result = new LinkedHashMap<>();
        for (Observation observation : history) {
            if (observation instanceof Observation.Shown shown) {
                result.computeIfAbsent(shown.job(), _ -> new Shows()).add(shown);
            }
        }
        return result;
    }

    /**
     * Returns the final states that changed, once for each job and other state, and the starts of tasks of jobs that were
     * shown as completed.
     */
    static List<Finding> check(List<Observation> history, List<RunSpan> spans) {
        Map<String, Shows> shows = shows(history);
        List<Finding> findings = new ArrayList<>();
        shows.values().forEach(s -> findings.addAll(s.findings.values()));
        for (RunSpan span : spans) {
            Optional<Observation.Shown> first =
                    Optional.ofNullable(shows.get(span.task().job())).flatMap(s -> s.first);
            if (first.isPresent()
                    && first.get().state() == JobState.COMPLETED
                    && span.start().compareTo(first.get().at()) > 0) {
                findings.add(
                        new Finding(Finding.Rule.R3, "task " + span.task(), format(first.get()) + ", then " + span));
            }
        }
        return findings;
    }

    /** Returns how often a node has shown a state that is not final after another one had shown the final state. */
    static int staleAnswers(List<Observation> history) {
        return shows(history).values().stream().mapToInt(s -> s.stale).sum();
    }

    private static String format(Observation.Shown shown) {
        return shown.state() + " at " + shown.node() + " asked " + Finding.seconds(shown.sentAt()) + " answered "
                + Finding.seconds(shown.at());
    }
}
