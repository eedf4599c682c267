package org.chestnutbarrow.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.SchedulerException;

/** One policy under one scenario in a deployment of its own. One use only; used by one thread. */
final class Trial {
    static final String INTERACTIVE = "fitting-check";
    private static final String BATCH = "season-reconcile";
    private static final Duration READY_TIME = Duration.ofSeconds(90);
    private static final Duration DEADLINE = Duration.ofSeconds(1);
    private static final Duration CALL_TIME = Duration.ofSeconds(5);
    private static final Duration COLLECT_EVERY = Duration.ofSeconds(2);

    private final Scenario scenario;
    private final Scenario.Policy policy;
    private final Path declarations;
    private int jobs;

    Trial(Scenario scenario, Scenario.Policy policy, Path declarations) {
        this.scenario = scenario;
        this.policy = policy;
        this.declarations = declarations;
    }

    TrialResult run() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("chestnutbarrow-bench");
        try (Cluster cluster = Cluster.start(scenario.cluster(), folder, policy.options())) {
            prepare(cluster, scenario.workers(), declarations);
            return measure(cluster);
        } finally {
            Cluster.delete(folder);
        }
    }

    /** Waits until every worker is held and the declarations are in force. */
    static void prepare(Cluster cluster, int workers, Path declarations) throws IOException, InterruptedException {
        cluster.awaitReady(READY_TIME);
        if (cluster.cli(cluster.daemonNames(), List.of("apply", declarations.toString())) != 0) {
            throw new IOException("declarations were not accepted");
        }
        Cluster.await("all workers held", READY_TIME, () -> sum(cluster, "chestnutbarrow_workers_held") == workers);
    }

    private TrialResult measure(Cluster cluster) throws IOException, InterruptedException {
        Journals journals = new Journals(cluster);
        long startMs = System.currentTimeMillis();
        List<LoadGenerator> loads = new ArrayList<>();
        Thread requests = Thread.ofPlatform().name("phases").start(() -> runPhases(cluster, loads));
        Thread steps = Thread.ofPlatform().name("steps").start(() -> runSteps(cluster));
        while (requests.isAlive()) {
            requests.join(COLLECT_EVERY);
            journals.collect();
        }
        steps.join();
        journals.collect();
        return result(cluster, journals, loads, startMs);
    }

    /** Starts each phase at its time, whether or not requests of the one before are still under way. */
    private void runPhases(Cluster cluster, List<LoadGenerator> loads) {
        List<Thread> threads = new ArrayList<>();
        try {
            for (int i = 0; i < scenario.phases().size(); i++) {
                Scenario.Phase phase = scenario.phases().get(i);
                LoadGenerator load = new LoadGenerator(cluster.http(), entries(cluster, phase), spec(phase, i));
                loads.add(load);
                threads.add(Thread.ofPlatform().start(() -> runQuietly(load)));
                Thread.sleep(duration(phase));
            }
            for (Thread thread : threads) {
                thread.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void runQuietly(LoadGenerator load) {
        try {
            load.run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private LoadSpec spec(Scenario.Phase phase, int index) {
        // Distinct seeds keep request ids of overlapping phases apart.
        long seed = scenario.seed() * 100 + index;
        return new LoadSpec(INTERACTIVE, phase.perSecond(), duration(phase), 0, DEADLINE, seed);
    }

    private static Duration duration(Scenario.Phase phase) {
        return Duration.ofMillis((long) (phase.seconds() * 1000));
    }

    private static List<Address> entries(Cluster cluster, Scenario.Phase phase) {
        List<String> names = cluster.daemonNames();
        return phase.entry().isEmpty()
                ? names.stream().map(cluster::daemon).toList()
                : phase.entry().stream()
                        .map(index -> cluster.daemon(names.get(index)))
                        .toList();
    }

    private void runSteps(Cluster cluster) {
        long start = System.nanoTime();
        List<Step> ordered = new ArrayList<>(scenario.steps());
        ordered.sort(Comparator.comparingDouble(Step::at));
        try {
            for (Step step : ordered) {
                Thread.sleep(Duration.ofNanos(Math.max(0, (long) (step.at() * 1e9) - (System.nanoTime() - start))));
                carryOut(cluster, step);
            }
        } catch (IOException e) {
            System.err.println("step failed, so the run is not valid: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void carryOut(Cluster cluster, Step step) throws IOException, InterruptedException {
        List<String> names = cluster.daemonNames();
        switch (step) {
            case Step.Batch batch -> {
                if (!policy.withoutBatch()) {
                    submit(cluster, cluster.daemon(names.get(0)), job(batch));
                }
            }
            case Step.ZoneOut out -> cluster.cli(names, List.of("zone", "out", out.zone()));
            case Step.ZoneIn in -> cluster.cli(names, List.of("zone", "in", in.zone()));
            case Step.Fault fault ->
                cluster.post(cluster.workers(), "/v1/faults", fault.body().toString());
        }
    }

    /** A job that is not accepted would make policies look better than they are. */
    private static void submit(Cluster cluster, Address daemon, String job) throws IOException {
        JsonNode answer = cluster.post(daemon, "/v1/jobs", job);
        if (!answer.path("result").asText().equals("accepted")) {
            throw new IOException("job was not accepted: " + answer);
        }
    }

    private String job(Step.Batch batch) {
        return String.format(
                Locale.ROOT,
                "{\"id\":\"wave-%d\",\"workClass\":\"%s\",\"tasks\":%d,\"runMs\":%d,"
                        + "\"demand\":{\"cores\":\"%d cores\",\"memory\":\"1GiB\"}}",
                ++jobs,
                BATCH,
                batch.tasks(),
                batch.runMs(),
                batch.cores());
    }

    private TrialResult result(Cluster cluster, Journals journals, List<LoadGenerator> loads, long startMs) {
        List<TrialResult.PhaseResult> phases = new ArrayList<>();
        for (int i = 0; i < loads.size(); i++) {
            phases.add(TrialResult.PhaseResult.of(
                    scenario.phases().get(i), loads.get(i).result()));
        }
        double seconds =
                scenario.phases().stream().mapToDouble(Scenario.Phase::seconds).sum();
        List<Observation> seen = journals.observations();
        List<Observation.TaskEnded> ends = seen.stream()
                .filter(Observation.TaskEnded.class::isInstance)
                .map(Observation.TaskEnded.class::cast)
                .filter(end -> end.atMs() <= startMs + seconds * 1000)
                .toList();
        long finished =
                ends.stream().filter(end -> end.state().equals("FINISHED")).count();
        return new TrialResult(
                policy.name(),
                phases,
                finished,
                finished / seconds,
                ends.stream().mapToLong(Observation.TaskEnded::doneMs).sum(),
                sum(cluster, "chestnutbarrow_events_total{event=\"task-throttled\"}"),
                sum(cluster, "chestnutbarrow_events_total{event=\"task-evicted\"}"),
                ends.stream().filter(end -> end.state().equals("CHECKPOINTED")).count(),
                Judge.overCommitted(seen, journals.workers()).size(),
                journals.dropped(),
                ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
    }

    /** Sum of a metric over all daemons; 0 where it is missing. */
    static long sum(Cluster cluster, String metric) {
        double sum = 0;
        for (String name : cluster.daemonNames()) {
            try {
                String text = cluster.http()
                        .send(cluster.daemon(name), HttpRequest.get("/metrics"), CALL_TIME)
                        .text();
                sum += text.lines()
                        .filter(line -> line.startsWith(metric + " "))
                        .mapToDouble(line -> Double.parseDouble(line.substring(metric.length() + 1)))
                        .sum();
            } catch (SchedulerException e) {
                System.err.println("no metrics of " + name + ": " + e.getMessage());
            }
        }
        return (long) sum;
    }
}
