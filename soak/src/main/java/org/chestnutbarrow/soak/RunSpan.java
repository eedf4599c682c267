package org.chestnutbarrow.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The life of one run on one worker incarnation. Immutable.
 *
 * @param task the task
 * @param run number of the run
 * @param on where it ran
 * @param start when it started
 * @param end how it ended; empty if it did not end in the history, or if the worker went down with it
 * @param until when it no longer existed; empty if it outlived the history
 * @param notedAt when an owner took note of the end; empty if none did, or only after the lease of the worker had expired
 */
record RunSpan(
        TaskKey task,
        int run,
        Observation.Incarnation on,
        Duration start,
        Optional<Observation.Ended> end,
        Optional<Duration> until,
        Optional<Duration> notedAt) {

    private record RunKey(Observation.Incarnation on, TaskKey task, int run) {}

    /** What happened to one worker incarnation, each in the order of time. */
    private static final class Life {
        final List<Observation.Acknowledged> acknowledged = new ArrayList<>();
        final List<Duration> expired = new ArrayList<>();
        Optional<Duration> down = Optional.empty();
    }

    /** Returns the runs of a history that is sorted by time, in the order of their starts. */
    static List<RunSpan> of(List<Observation> history) {
        List<Observation.Started> starts = new ArrayList<>();
        Map<RunKey, Observation.Ended> ends = new HashMap<>();
        Map<Observation.Incarnation, Life> lives = new HashMap<>();
        for (Observation observation : history) {
            switch (observation) {
                case Observation.Started started -> starts.add(started);
                case Observation.Ended ended -> ends.put(new RunKey(ended.on(), ended.task(), ended.run()), ended);
                case Observation.Acknowledged a ->
                    life(lives, a.on()).acknowledged.add(a);
                case Observation.LeaseExpired e -> life(lives, e.on()).expired.add(e.at());
                case Observation.WentDown d -> life(lives, d.on()).down = Optional.of(d.at());
                case Observation.Accepted _, Observation.CancelAccepted _, Observation.Shown _ -> {}
            }
        }
        List<RunSpan> spans = new ArrayList<>();
        for (Observation.Started started : starts) {
            Life life = life(lives, started.on());
            Optional<Observation.Ended> end =
                    Optional.ofNullable(ends.get(new RunKey(started.on(), started.task(), started.run())));
            spans.add(new RunSpan(
                    started.task(),
                    started.run(),
                    started.on(),
                    started.at(),
                    end,
                    end.map(Observation.Ended::at).or(() -> life.down),
                    end.flatMap(e -> notedAt(e, life))));
        }
        return spans;
    }

    private static Life life(Map<Observation.Incarnation, Life> lives, Observation.Incarnation on) {
        return lives.computeIfAbsent(on, _ -> new Life());
    }

    private static Optional<Duration> notedAt(Observation.Ended end, Life life) {
        Optional<Duration> expiry =
                life.expired.stream().filter(at -> at.compareTo(end.at()) >= 0).findFirst();
        return life.acknowledged.stream()
                .filter(a -> a.upTo() >= end.number() && a.at().compareTo(end.at()) >= 0)
                .map(Observation.Acknowledged::at)
                .findFirst()
                .filter(at -> expiry.isEmpty() || at.compareTo(expiry.get()) < 0);
    }

    /** Returns whether the run ended by itself with its work done. */
    boolean isDone() {
        return end.isPresent() && end.get().how() == Observation.EndKind.DONE;
    }

    @Override
    public String toString() {
        return "run " + run + " on " + on + " from " + Finding.seconds(start) + " to "
                + until.map(Finding::seconds).orElse("the end")
                + end.map(e -> " " + e.how() + " (end " + e.number() + ")").orElse("")
                + notedAt.map(at -> " noted " + Finding.seconds(at)).orElse("");
    }
}
