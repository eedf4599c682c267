package org.chestnutbarrow.soak;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Outcome of one play.
 *
 * @param seed seed of the play
 * @param accepted number of accepted jobs
 * @param starts number of runs that were started
 * @param faults number of injected faults
 * @param unfinished accepted jobs without a final state at the end
 * @param stale number of answers with an earlier state than another node had shown before
 * @param findings violations of rules
 * @param took length of the play
 * @param logs folder with the output of the nodes; deleted if there are no findings
 */
record PlayResult(
        long seed,
        int accepted,
        int starts,
        int faults,
        List<String> unfinished,
        int stale,
        List<Finding> findings,
        Duration took,
        Path logs) {
    private static final int MAX_NAMES = 10;

    PlayResult {
        unfinished = List.copyOf(unfinished);
        findings = List.copyOf(findings);
    }

    boolean failed() {
        return !findings.isEmpty();
    }

    /** Returns the line of this seed, followed by one for each finding. */
    String report() {
        StringBuilder out = new StringBuilder("seed=" + seed + " accepted=" + accepted + " starts=" + starts
                + " faults="
                + faults + " unfinished=" + unfinished.size() + " stale=" + stale + " findings=" + findings.size()
                + counts() + " took=" + took.toSeconds() + "s");
        if (!unfinished.isEmpty()) {
            out.append(" unfinishedJobs=")
                    .append(String.join(
                            ",", unfinished.stream().limit(MAX_NAMES).toList()));
        }
        if (failed()) {
            out.append(" logs=").append(logs);
        }
        findings.forEach(
                finding -> out.append("\n  seed=").append(seed).append(' ').append(finding));
        return out.toString();
    }

    private String counts() {
        return findings.stream()
                .collect(Collectors.groupingBy(Finding::rule, Collectors.counting()))
                .entrySet()
                .stream()
                .sorted(Map.Entry.comparingByKey())
                .map(entry -> " " + entry.getKey() + "=" + entry.getValue())
                .collect(Collectors.joining());
    }
}
