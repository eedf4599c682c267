package org.chestnutbarrow.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Checks a history, sorted by time, against the rules R1, R2 and R3. Stateless. */
final class Checker {
    private Checker() {}

    /** Returns all violations. */
    static List<Finding> check(List<Observation> history) {
        List<RunSpan> spans = RunSpan.of(history);
        Map<TaskKey, List<RunSpan>> byTask = new LinkedHashMap<>();
        spans.forEach(span ->
                byTask.computeIfAbsent(span.task(), _ -> new ArrayList<>()).add(span));
        List<Finding> findings = new ArrayList<>();
        byTask.values().forEach(runs -> {
            findings.addAll(overlaps(runs));
            findings.addAll(startsAfterDone(runs));
        });
        findings.addAll(ShownStates.check(history, spans));
        return findings;
    }

    /** R1: two runs of a task at once. */
    private static List<Finding> overlaps(List<RunSpan> runs) {
        List<Finding> findings = new ArrayList<>();
        for (int i = 0; i < runs.size(); i++) {
            for (RunSpan later : runs.subList(i + 1, runs.size())) {
                Optional<Duration> until = runs.get(i).until();
                if (until.isEmpty() || later.start().compareTo(until.get()) < 0) {
                    findings.add(finding(Finding.Rule.R1, runs.get(i), later));
                }
            }
        }
        return findings;
    }

    /** R2: a start after an end {@code done} that was taken note of, whether before or after the start. */
    private static List<Finding> startsAfterDone(List<RunSpan> runs) {
        List<Finding> findings = new ArrayList<>();
        for (RunSpan done : runs) {
            if (!done.isDone() || done.notedAt().isEmpty()) {
                continue;
            }
            for (RunSpan other : runs) {
                if (other.start().compareTo(done.until().orElseThrow()) >= 0 && !other.equals(done)) {
                    findings.add(finding(Finding.Rule.R2, done, other));
                }
            }
        }
        return findings;
    }

    private static Finding finding(Finding.Rule rule, RunSpan first, RunSpan second) {
        return new Finding(rule, "task " + first.task(), first + ", then " + second);
    }
}
