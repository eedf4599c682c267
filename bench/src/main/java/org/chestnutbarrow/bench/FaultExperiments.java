package org.chestnutbarrow.bench;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.chestnutbarrow.http.Headers;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;

/**
 * Measures what failures of daemons, links and the log cost on one deployment, by what the workers recorded. Prints a
 * table and writes the same as JSON. Used by one thread.
 */
final class FaultExperiments {
    private static final String VICTIM = "entry-3";
    private static final String OTHER = "entry-1";
    private static final String ZONE = "miskolc";
    private static final Duration WAIT = Duration.ofMinutes(2);
    private static final long BEFORE_MS = 2000;
    private static final long FAULT_MS = 8000;
    private static final long NOTICED_MS = 1500;
    private static final int TASK_MS = 2000;
    /** With the quota below, 30 tasks run at a time, so that some wait during all faults. */
    private static final int BACKLOG = 4500;

    private static final String LARGE_QUOTA = "2000 cores";
    private static final String QUOTA = "61 cores";

    private static final int RECEIPTS = 200;

    private final Experiment.Faults options;
    private final PrintStream out;
    private final ObjectNode results = JsonNodeFactory.instance.objectNode();
    private final Table figures = new Table("what", "value");
    private final Table shares = new Table("fault", "sent", "ran %", "not run %", "unknown %", "lost %");
    private final Table zones = new Table("while", "change", "last start in the zone after in force, ms");
    private Cluster cluster;
    private Workload work;

    FaultExperiments(Experiment.Faults options, PrintStream out) {
        this.options = options;
        this.out = out;
    }

    /** Runs all parts; returns whether all that must hold did. */
    boolean run() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("chestnutbarrow-bench");
        try (Cluster started = Cluster.start(spec(), folder);
                Workload workload = new Workload(started, declarations(folder))) {
            cluster = started;
            work = workload;
            cluster.awaitReady(WAIT);
            work.declare();
            work.submitBatch("backlog", BACKLOG, TASK_MS);
            Cluster.await("tasks run", WAIT, () -> work.finished() > 0);
            normalMinuteAndOutage();
            receipts();
            kill();
            pause();
            terminate();
            cut("log cut", List.of(VICTIM + ":log"));
            cut("peers cut", peerLinks());
            List<String> both = new ArrayList<>(peerLinks());
            both.add(VICTIM + ":log");
            cut("log and peers cut", both);
            return report(work.broken());
        } finally {
            Cluster.delete(folder);
        }
    }

    private Path declarations(Path folder) throws IOException {
        Path example = options.examples.resolve("hivatal").resolve("declarations.jsonc");
        Path file = folder.resolve("declarations.jsonc");
        return Files.writeString(file, Files.readString(example).replace(LARGE_QUOTA, QUOTA));
    }

    private static ClusterSpec spec() {
        return new ClusterSpec(
                        3,
                        6,
                        List.of("eger", "miskolc", "salgotarjan"),
                        256,
                        256_000,
                        0,
                        Map.of("fitting-check", "100ms"),
                        3600,
                        false,
                        1)
                .throughProxy();
    }

    private void normalMinuteAndOutage() throws IOException, InterruptedException {
        LogReader log = new LogReader(cluster);
        long length = options.outageSeconds * 1000L;
        long before = work.finished();
        long offset = log.next();
        LoadResult normal = under("none", () -> Thread.sleep(length));
        double appends = (log.next() - offset) * 1000.0 / length;
        long done = work.finished() - before;

        OutageResult gap = outage(length);
        figure("log appends per second, no fault", "logAppendsPerSecond", appends);
        figure("batch tasks finished in " + options.outageSeconds + " s, no fault", "tasksWithoutOutage", (double)
                done);
        figure("batch tasks finished in the same time of log outage", "tasksDuringOutage", (double) gap.tasks());
        figure("requests that ran in that time, no fault", "requestsWithoutOutage", (double) normal.count("ran"));
        figure("requests that ran in the same time of log outage", "requestsDuringOutage", (double)
                gap.load().count("ran"));
        figure("batch work in the outage, % of that without", "outageWorkPercent", 100.0 * gap.tasks() / done);
    }

    private record OutageResult(long tasks, LoadResult load) {}

    private OutageResult outage(long length) throws IOException, InterruptedException {
        long before = work.finished();
        cluster.post(cluster.log(), "/v1/faults", "{\"fault\":\"outage\",\"on\":true}");
        LoadResult load = under("log outage", () -> Thread.sleep(length));
        long tasks = work.finished() - before;
        cluster.post(cluster.log(), "/v1/faults", "{\"fault\":\"outage\",\"on\":false}");
        cluster.awaitReady(WAIT);
        return new OutageResult(tasks, load);
    }

    private void kill() throws IOException, InterruptedException {
        Set<String> held = work.heldBy(VICTIM);
        long[] at = new long[1];
        under("kill -9", () -> {
            Thread.sleep(BEFORE_MS);
            at[0] = System.currentTimeMillis();
            cluster.processes().kill(VICTIM);
            Cluster.await("take-over", WAIT, () -> work.firstStarts(held, at[0]).size() == held.size());
            restart();
        });
        Collection<Long> times = work.firstStarts(held, at[0]).values();
        figure("kill -9: workers of the daemon", "killedWorkers", held.size());
        figure("kill -9 to first start by a new owner, first worker, ms", "takeOverFirstMs", Collections.min(times));
        figure("kill -9 to first start by a new owner, last worker, ms", "takeOverLastMs", Collections.max(times));
    }

    private void pause() throws IOException, InterruptedException {
        under("SIGSTOP 5 s", () -> {
            Thread.sleep(BEFORE_MS);
            cluster.processes().signal(VICTIM, "STOP");
            Thread.sleep(5000);
            cluster.processes().signal(VICTIM, "CONT");
            cluster.awaitReady(WAIT);
        });
    }

    private void terminate() throws IOException, InterruptedException {
        under("SIGTERM", () -> {
            Thread.sleep(BEFORE_MS);
            cluster.processes().terminate(VICTIM, WAIT);
            restart();
        });
    }

    private void restart() throws IOException, InterruptedException {
        work.restarts(VICTIM);
        cluster.startDaemon(VICTIM);
        cluster.awaitReady(WAIT);
        Cluster.await("workers are held again", WAIT, () -> !work.heldBy(VICTIM).isEmpty());
    }

    private void cut(String name, List<String> links) throws IOException, InterruptedException {
        under(name, () -> {
            Thread.sleep(BEFORE_MS);
            set(links, "cut");
            Thread.sleep(NOTICED_MS);
            String result = work.zone(OTHER, ZONE, "OUT").path("result").asText();
            long inForce = System.currentTimeMillis();
            Thread.sleep(FAULT_MS - NOTICED_MS);
            OptionalLong last = lastStart(inForce);
            zones.row(name, result, last.isPresent() ? last.getAsLong() : "none");
            ObjectNode row = list("zones").addObject().put("while", name).put("change", result);
            last.ifPresent(ms -> row.put("lastStartMs", ms));
            set(links, "none");
            cluster.awaitReady(WAIT);
            work.zone(OTHER, ZONE, "IN");
        });
    }

    private OptionalLong lastStart(long fromMs) {
        return work.startsInZone(ZONE, fromMs).stream()
                .mapToLong(seen -> seen.atMs() - fromMs)
                .max();
    }

    private void set(List<String> links, String fault) throws IOException {
        for (String link : links) {
            cluster.post(cluster.proxy(), "/v1/faults?pair=" + link, "{\"fault\":\"" + fault + "\"}");
        }
    }

    private List<String> peerLinks() {
        List<String> links = new ArrayList<>();
        for (String daemon : cluster.daemonNames()) {
            if (!daemon.equals(VICTIM)) {
                links.add(daemon + ":" + VICTIM);
                links.add(VICTIM + ":" + daemon);
            }
        }
        return links;
    }

    /** Measures requests with and without a receipt in turn, so that both see the same state of the machine. */
    private void receipts() throws IOException {
        List<Long> with = new ArrayList<>();
        List<Long> without = new ArrayList<>();
        for (int i = 0; i < RECEIPTS; i++) {
            without.add(micros(i, true));
            with.add(micros(i, false));
        }
        Collections.sort(with);
        Collections.sort(without);
        figure("idempotent request p50, ms", "idempotentP50Ms", without.get(RECEIPTS / 2) / 1000.0);
        figure("request with receipt p50, ms", "receiptP50Ms", with.get(RECEIPTS / 2) / 1000.0);
        double added = (with.get(RECEIPTS / 2) - without.get(RECEIPTS / 2)) / 1000.0;
        figure("added by a receipt p50, ms", "receiptAddedP50Ms", added);
        int p99 = RECEIPTS * 99 / 100;
        figure("added by a receipt p99, ms", "receiptAddedP99Ms", (with.get(p99) - without.get(p99)) / 1000.0);
    }

    private long micros(int number, boolean idempotent) throws IOException {
        String id = System.currentTimeMillis() + "-receipt" + number + idempotent;
        Headers headers = Headers.of("Chestnutbarrow-Request-Id", id)
                .with("Chestnutbarrow-Idempotent", String.valueOf(idempotent));
        HttpRequest request = new HttpRequest("POST", "/fitting-check/x", headers, new byte[] {'x'});
        long start = System.nanoTime();
        try {
            cluster.http().send(cluster.daemon(OTHER), request, WAIT);
        } catch (NotRunException | OutcomeUnknownException e) {
            throw new IOException(e.getMessage(), e);
        }
        return (System.nanoTime() - start) / 1000;
    }

    /** What happens while load is sent. */
    @FunctionalInterface
    private interface Step {
        void run() throws IOException, InterruptedException;
    }

    private LoadResult under(String fault, Step step) throws IOException, InterruptedException {
        out.println("fault: " + fault);
        work.startLoad(options.rate);
        step.run();
        LoadResult load = work.stopLoad();
        long lost = load.count("no-answer") + load.count("unreachable") + load.count("none");
        shares.row(
                fault,
                load.sent(),
                percent(load.count("ran"), load),
                percent(load.count("not-run"), load),
                percent(load.count("unknown"), load),
                percent(lost, load));
        list("requests")
                .addObject()
                .put("fault", fault)
                .put("sent", load.sent())
                .put("ran", load.count("ran"))
                .put("notRun", load.count("not-run"))
                .put("unknown", load.count("unknown"))
                .put("lost", lost)
                .put("p99Ms", load.millis(99));
        return load;
    }

    private static String percent(long part, LoadResult load) {
        return String.format(Locale.ROOT, "%.2f", 100.0 * part / Math.max(1, load.sent()));
    }

    private ArrayNode list(String name) {
        return results.withArray("/" + name);
    }

    private void figure(String what, String name, Number value) {
        figures.row(what, String.format(Locale.ROOT, "%.2f", value.doubleValue()));
        results.put(name, value.doubleValue());
    }

    private boolean report(List<String> broken) throws IOException {
        broken.forEach(list("broken")::add);
        Files.createDirectories(options.out);
        Files.writeString(options.out.resolve("faults.json"), results.toPrettyString() + System.lineSeparator());
        out.println();
        out.println(figures);
        out.println(shares);
        out.println(zones);
        out.println(broken.isEmpty() ? "all that must hold did" : "BROKEN: " + broken);
        return broken.isEmpty();
    }
}
