package org.chestnutbarrow.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.chestnutbarrow.model.Address;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/**
 * Runs a whole deployment for about 40 seconds: serves interactive requests, runs batch jobs and watchers, takes a zone
 * out and in, kills a daemon, and judges what must hold by what the workers recorded. Used by one thread.
 */
public final class Demo {
    private static final Duration READY_TIME = Duration.ofSeconds(60);
    private static final Duration LOAD_TIME = Duration.ofSeconds(36);
    private static final Duration ZONE_OUT_AT = Duration.ofSeconds(8);
    private static final Duration ZONE_IN_AT = Duration.ofSeconds(18);
    private static final Duration KILL_AT = Duration.ofSeconds(24);
    private static final Duration PROGRESS_EVERY = Duration.ofSeconds(2);
    private static final Duration JOBS_TIME = Duration.ofSeconds(30);
    private static final long ZONE_GRACE_MS = 3000;
    private static final int JOBS = 4;
    private static final int TASKS_PER_JOB = 30;
    private static final int TASK_RUN_MS = 4000;

    private final DemoOptions options;
    private final PrintStream out;
    private final List<String> held = new ArrayList<>();
    private final List<String> broken = new ArrayList<>();
    private Cluster cluster;
    private Journals journals;
    private long zoneOutMs;
    private long zoneInMs;

    private Demo(DemoOptions options, PrintStream out) {
        this.options = options;
        this.out = out;
    }

    /** Runs the demo; exits with 0 only if everything that must hold did. */
    public static void main(String[] args) throws Exception {
        Logger.getLogger("").setLevel(Level.OFF);
        DemoOptions options = new DemoOptions();
        CmdLineParser parser = new CmdLineParser(options);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(2);
        }
        if (options.help) {
            parser.printUsage(System.out);
            return;
        }
        System.exit(new Demo(options, System.out).run() ? 0 : 1);
    }

    private boolean run() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("chestnutbarrow-demo");
        long start = System.nanoTime();
        try (Cluster started = Cluster.start(options.deployment.spec(options.daemons, options.workers), folder)) {
            cluster = started;
            journals = new Journals(cluster);
            cluster.awaitReady(READY_TIME);
            say(start, options.daemons + " daemons and " + options.workers + " workers are ready");
            setUp(start);
            LoadResult load = underLoad(start);
            boolean finished = awaitJobs(start);
            journals.collect();
            judge(load, finished);
            report(load);
            if (options.record != null) {
                Recorder.record(cluster, journals.observations(), options.record);
            }
        } finally {
            if (options.keep) {
                out.println("settings and logs are in " + folder);
            } else {
                Cluster.delete(folder);
            }
        }
        return broken.isEmpty();
    }

    private void setUp(long start) throws IOException, InterruptedException {
        Path file = options.examples.resolve(options.deployment.name()).resolve("declarations.jsonc");
        require("declarations are in force", cli("apply", file.toString()) == 0);
        require("watcher is accepted", submit("watch", options.deployment.watcher(), 2, 0));
        for (int i = 1; i <= JOBS; i++) {
            require(
                    "job " + i + " is accepted",
                    submit("batch-" + i, options.deployment.batch(), TASKS_PER_JOB, TASK_RUN_MS));
        }
        require(
                "a repeated submission is accepted once",
                submit("batch-1", options.deployment.batch(), TASKS_PER_JOB, TASK_RUN_MS));
        say(start, "declarations applied, " + JOBS + " jobs and a watcher submitted");
    }

    private LoadResult underLoad(long start) throws InterruptedException, IOException {
        List<Address> entries =
                cluster.daemonNames().stream().map(cluster::daemon).toList();
        LoadSpec spec = new LoadSpec(
                options.deployment.interactive(), options.rate, LOAD_TIME, 0.2, Duration.ofSeconds(2), options.seed);
        LoadGenerator load = new LoadGenerator(cluster.http(), entries, spec);
        Thread sender = Thread.ofPlatform().name("load").start(() -> {
            try {
                load.run();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        long began = System.nanoTime();
        boolean out1 = false;
        boolean in1 = false;
        boolean killed = false;
        while (sender.isAlive()) {
            sender.join(PROGRESS_EVERY);
            Duration at = Duration.ofNanos(System.nanoTime() - began);
            progress(start, load.result());
            if (!out1 && at.compareTo(ZONE_OUT_AT) >= 0) {
                out1 = true;
                zoneOut(start);
            }
            if (!in1 && at.compareTo(ZONE_IN_AT) >= 0) {
                in1 = true;
                zoneInMs = System.currentTimeMillis();
                require("zone is taken in", cli("zone", "in", options.deployment.zone()) == 0);
                say(start, "zone " + options.deployment.zone() + " is in again");
            }
            if (!killed && at.compareTo(KILL_AT) >= 0) {
                killed = true;
                String victim = cluster.daemonNames().get(cluster.daemonNames().size() - 1);
                cluster.processes().kill(victim);
                say(start, "killed daemon " + victim);
            }
            journals.collect();
        }
        return load.result();
    }

    private void zoneOut(long start) throws IOException, InterruptedException {
        require("zone is taken out", cli("zone", "out", options.deployment.zone()) == 0);
        zoneOutMs = System.currentTimeMillis();
        say(start, "zone " + options.deployment.zone() + " is out");
    }

    private boolean awaitJobs(long start) throws InterruptedException {
        try {
            Cluster.await("all batch jobs finished", JOBS_TIME, this::batchFinished);
            say(start, "all batch jobs have finished");
            return true;
        } catch (IllegalStateException e) {
            say(start, e.getMessage());
            return false;
        }
    }

    private boolean batchFinished() {
        try {
            journals.collect();
        } catch (IOException e) {
            return false;
        }
        long ended = journals.observations().stream()
                .filter(seen -> seen instanceof Observation.TaskEnded end
                        && end.state().equals("FINISHED")
                        && end.task().startsWith("batch-"))
                .count();
        return ended >= (long) JOBS * TASKS_PER_JOB;
    }

    private void judge(LoadResult load, boolean finished) {
        List<Observation> seen = journals.observations();
        String zone = options.deployment.zone();
        check("journals are complete", journals.dropped() == 0 ? List.of() : List.of("events were dropped"));
        check("no worker got more than it holds", Judge.overCommitted(seen, journals.workers()));
        check("no task ran in two places", Judge.ranTwiceAtOnce(seen));
        check("no task finished twice", Judge.finishedTwice(seen));
        check("evicted work resumed once", Judge.resumedTwice(seen));
        check(
                "nothing started in the zone that was out",
                Judge.startedInZone(seen, journals.workers(), zone, zoneOutMs + ZONE_GRACE_MS, zoneInMs));
        check("non-idempotent requests ran at most once", Judge.ranMoreThanOnce(seen, load.nonIdempotent()));
        check("requests answered as not run did not run", Judge.ranAlthoughRefused(seen, load.refused()));
        check("answers were whole and their own", load.wrong() == 0 ? List.of() : List.of(load.wrong() + " were not"));
        check("all batch tasks finished", finished ? List.of() : List.of("some did not"));
        check("requests were served", load.count("ran") > load.sent() / 2 ? List.of() : List.of("most were not"));
    }

    private void check(String what, List<String> faults) {
        if (faults.isEmpty()) {
            held.add(what);
        } else {
            broken.add(what + ": " + faults.size() + " times, first: " + faults.get(0));
        }
    }

    private void require(String what, boolean holds) {
        check(what, holds ? List.of() : List.of("it is not"));
    }

    private void report(LoadResult load) throws IOException {
        out.println();
        out.print(new Table("what", "value")
                .row("requests sent", load.sent())
                .row("ran", load.count("ran"))
                .row("not run", load.count("not-run"))
                .row("unknown", load.count("unknown"))
                .row("no answer", load.count("no-answer"))
                .row(
                        "latency p50 / p99 / p99.9 ms",
                        String.format(
                                Locale.ROOT, "%.1f / %.1f / %.1f", load.millis(50), load.millis(99), load.millis(99.9)))
                .row("daemons' resident MiB", cluster.residentMiB()));
        out.println();
        Table table = new Table("what must hold", "held");
        held.forEach(what -> table.row(what, "yes"));
        broken.forEach(what -> table.row(what, "NO"));
        out.print(table);
    }

    private void progress(long start, LoadResult load) {
        say(
                start,
                String.format(
                        Locale.ROOT,
                        "ran %d, not run %d, unknown %d, p50 %.1f ms, p99 %.1f ms",
                        load.count("ran"),
                        load.count("not-run"),
                        load.count("unknown") + load.count("no-answer"),
                        load.millis(50),
                        load.millis(99)));
    }

    private void say(long start, String text) {
        double seconds = (System.nanoTime() - start) / 1e9;
        out.println(String.format(Locale.ROOT, "%5.1f s  %s", seconds, text));
    }

    private int cli(String... arguments) throws IOException, InterruptedException {
        return cluster.cli(cluster.daemonNames(), List.of(arguments));
    }

    private boolean submit(String id, String workClass, int tasks, int runMs) throws IOException {
        String job = String.format(
                Locale.ROOT,
                "{\"id\":\"%s\",\"workClass\":\"%s\",\"tasks\":%d,\"runMs\":%d}",
                id,
                workClass,
                tasks,
                runMs);
        Address daemon = cluster.daemon(cluster.daemonNames().get(0));
        return cluster.post(daemon, "/v1/jobs", job).path("result").asText().equals("accepted");
    }
}
