package org.chestnutbarrow.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.chestnutbarrow.http.Headers;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.SchedulerException;

/**
 * Latency that one daemon adds, and its saturation, with endpoints whose service time is 1 ms. The added time is the
 * difference of the same percentile through the daemon and straight to the endpoints, each at the same rate. Used by
 * one thread.
 */
final class AddedLatency {
    private static final int WORKERS = 12;
    private static final Duration WARM_UP = Duration.ofSeconds(5);
    private static final Duration CALL_TIME = Duration.ofSeconds(2);
    private static final long MAX_MICROS = 10_000_000;
    private static final double TICKS_PER_SECOND = 100;

    private final Experiment.Added options;
    private final PrintStream out;
    private Cluster cluster;

    AddedLatency(Experiment.Added options, PrintStream out) {
        this.options = options;
        this.out = out;
    }

    void run() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("chestnutbarrow-added");
        ClusterSpec base = ClusterSpec.hivatal(1, WORKERS);
        ClusterSpec spec = new ClusterSpec(
                1, WORKERS, base.zones(), 64, 250_000, 0, Map.of(Trial.INTERACTIVE, "1ms"), 3600, false, options.seed);
        try (Cluster started = Cluster.start(spec, folder)) {
            cluster = started;
            Trial.prepare(cluster, WORKERS, options.declarations);
            measure();
        } finally {
            Cluster.delete(folder);
        }
    }

    private void measure() throws IOException, InterruptedException {
        List<Address> daemon = List.of(cluster.daemon("entry-1"));
        List<Address> endpoints = new ArrayList<>();
        for (JsonNode worker : cluster.get(cluster.workers(), "/v1/workers")) {
            endpoints.add(Address.parse(worker.path("endpoint").asText()));
        }
        closed(daemon, WARM_UP);
        double before = cpuSeconds();
        Closed saturated = closed(daemon, Duration.ofSeconds(options.seconds));
        double cpu = cpuSeconds() - before;
        Closed direct = closed(endpoints, Duration.ofSeconds(options.seconds));
        double rate = saturated.count() / (double) options.seconds;
        out.print(new Table("closed loop", "requests/s", "p50 ms", "p99 ms")
                .row("daemon", text(rate), millis(saturated.latency(), 50), millis(saturated.latency(), 99))
                .row(
                        "endpoints",
                        text(direct.count() / (double) options.seconds),
                        millis(direct.latency(), 50),
                        millis(direct.latency(), 99)));
        out.println("daemon CPU " + text(cpu) + " s in " + options.seconds + " s, requests per CPU second "
                + text(saturated.count() / cpu));
        LoadResult through = open(daemon, rate / 2);
        LoadResult straight = open(endpoints, rate / 2);
        Table table = new Table("open loop at " + text(rate / 2) + "/s", "sent", "p50 ms", "p99 ms");
        table.row("daemon", through.sent(), text(through.millis(50)), text(through.millis(99)));
        table.row("endpoints", straight.sent(), text(straight.millis(50)), text(straight.millis(99)));
        table.row(
                "added",
                "",
                text(through.millis(50) - straight.millis(50)),
                text(through.millis(99) - straight.millis(99)));
        out.print(table);
    }

    /** Requests that were answered in a closed loop, and their latency in microseconds. */
    private record Closed(long count, Histogram latency) {}

    private Closed closed(List<Address> to, Duration duration) throws InterruptedException {
        Histogram latency = new ConcurrentHistogram(MAX_MICROS, 3);
        AtomicLong count = new AtomicLong();
        long end = System.nanoTime() + duration.toNanos();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < options.callers; i++) {
            Address address = to.get(i % to.size());
            callers.add(Thread.ofVirtual().start(() -> call(address, end, count, latency)));
        }
        for (Thread caller : callers) {
            caller.join();
        }
        return new Closed(count.get(), latency);
    }

    private void call(Address address, long end, AtomicLong count, Histogram latency) {
        HttpRequest request =
                new HttpRequest("GET", "/" + Trial.INTERACTIVE + "/x", Headers.of("Host", "x"), new byte[0]);
        while (System.nanoTime() - end < 0) {
            long start = System.nanoTime();
            try {
                if (cluster.http().send(address, request, CALL_TIME).status() == 200) {
                    count.incrementAndGet();
                    latency.recordValue(Math.min(MAX_MICROS, (System.nanoTime() - start) / 1000));
                }
            } catch (SchedulerException e) {
                out.println("request failed: " + e.getMessage());
            }
        }
    }

    private LoadResult open(List<Address> to, double rate) throws InterruptedException {
        LoadSpec spec =
                new LoadSpec(Trial.INTERACTIVE, rate, Duration.ofSeconds(options.seconds), 0, CALL_TIME, options.seed);
        return new LoadGenerator(cluster.http(), to, spec).run();
    }

    /** Processor time of the daemon, from fields 14 and 15 of {@code /proc/PID/stat} (proc(5)), in clock ticks. */
    private double cpuSeconds() throws IOException {
        long pid = cluster.processes().pid("entry-1");
        String stat = Files.readString(Path.of("/proc", String.valueOf(pid), "stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / TICKS_PER_SECOND;
    }

    private static String millis(Histogram latency, double percent) {
        return text(latency.getValueAtPercentile(percent) / 1000.0);
    }

    private static String text(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }
}
