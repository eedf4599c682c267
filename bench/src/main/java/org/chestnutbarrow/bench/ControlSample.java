package org.chestnutbarrow.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;

/**
 * Counters of one daemon at one moment, from the kernel and its metrics.
 *
 * @param nanos when it was taken, on the monotonic clock
 * @param values the counters; processor time in milliseconds, resident memory in MiB
 */
record ControlSample(long nanos, Map<Quantity, Double> values) {
    private static final Duration CALL_TIME = Duration.ofSeconds(5);
    /** User and system time are fields 14 and 15; the count starts after the name in brackets, at field 3. */
    private static final int USER_TIME = 14 - 3;

    /** USER_HZ is 100 on all platforms that Linux reports to user space. */
    private static final double MILLIS_PER_TICK = 10;

    /** What is measured, per daemon. */
    enum Quantity {
        CPU("CPU ms/s"),
        PEER_OUT("peer B/s out"),
        PEER_IN("peer B/s in"),
        PLATFORM_OUT("platform B/s out"),
        PLATFORM_IN("platform B/s in"),
        MESSAGES("messages/s"),
        RESIDENT("resident MiB"),
        APPENDS("appends/s"),
        APPEND_BYTES("append B/s"),
        LOG_LINES("log lines/s");

        private final String label;

        Quantity(String label) {
            this.label = label;
        }

        /** The daemon's metrics that it is the sum of; none if it comes from the kernel. */
        List<String> metrics() {
            return switch (this) {
                case CPU, RESIDENT -> List.of();
                case PEER_OUT -> List.of("chestnutbarrow_peer_sent_bytes_total");
                case PEER_IN -> List.of("chestnutbarrow_peer_received_bytes_total");
                case PLATFORM_OUT -> List.of("chestnutbarrow_platform_sent_bytes_total");
                case PLATFORM_IN -> List.of("chestnutbarrow_platform_received_bytes_total");
                case MESSAGES ->
                    List.of(
                            "chestnutbarrow_peer_sent_messages_total",
                            "chestnutbarrow_peer_received_messages_total",
                            "chestnutbarrow_platform_requests_total");
                case APPENDS -> List.of("chestnutbarrow_log_appends_total");
                case APPEND_BYTES -> List.of("chestnutbarrow_log_append_bytes_total");
                case LOG_LINES -> List.of("chestnutbarrow_log_lines_total");
            };
        }

        String label() {
            return label;
        }
    }

    /** Reads all daemons of a deployment, in order of their names. */
    static List<ControlSample> take(Cluster cluster) throws IOException {
        List<ControlSample> samples = new ArrayList<>();
        Map<String, Long> resident = cluster.residentMiB();
        for (String name : cluster.daemonNames()) {
            String metrics = metrics(cluster, cluster.daemon(name));
            Map<Quantity, Double> values = new EnumMap<>(Quantity.class);
            for (Quantity quantity : Quantity.values()) {
                values.put(
                        quantity,
                        quantity.metrics().stream()
                                .mapToDouble(metric -> sum(metrics, metric))
                                .sum());
            }
            values.put(Quantity.CPU, cpuMillis(cluster.processes().pid(name)));
            values.put(Quantity.RESIDENT, (double) resident.get(name));
            samples.add(new ControlSample(System.nanoTime(), values));
        }
        return samples;
    }

    /** Means over the daemons: rates between two samples, and the resident memory of the later one. */
    static Map<Quantity, Double> rates(List<ControlSample> from, List<ControlSample> to) {
        Map<Quantity, Double> rates = new EnumMap<>(Quantity.class);
        for (Quantity quantity : Quantity.values()) {
            double sum = 0;
            for (int i = 0; i < from.size(); i++) {
                double seconds = (to.get(i).nanos - from.get(i).nanos) / 1e9;
                double later = to.get(i).values.get(quantity);
                sum += quantity == Quantity.RESIDENT
                        ? later
                        : (later - from.get(i).values.get(quantity)) / seconds;
            }
            rates.put(quantity, sum / from.size());
        }
        return rates;
    }

    private static String metrics(Cluster cluster, Address daemon) throws IOException {
        try {
            return cluster.http()
                    .send(daemon, HttpRequest.get("/metrics"), CALL_TIME)
                    .text();
        } catch (NotRunException | OutcomeUnknownException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    /** The sum over all label values of a metric. */
    static double sum(String text, String metric) {
        return text.lines()
                .filter(line -> line.startsWith(metric + " ") || line.startsWith(metric + "{"))
                .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
                .sum();
    }

    private static double cpuMillis(long pid) throws IOException {
        String stat = Files.readString(Path.of("/proc", String.valueOf(pid), "stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER_TIME]) + Long.parseLong(fields[USER_TIME + 1])) * MILLIS_PER_TICK;
    }
}
