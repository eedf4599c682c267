package org.chestnutbarrow.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.chestnutbarrow.bench.ControlSample.Quantity;
import org.chestnutbarrow.bench.DeploymentSize.Axis;
import org.chestnutbarrow.model.Address;

/**
 * Measures what a daemon spends on control while one size of the deployment grows and the others stay fixed, without
 * interactive load. Used by one thread; one deployment runs at a time.
 */
final class SlopesExperiment {
    private static final int TASKS_PER_JOB = 10;
    private static final int SUBMITTERS = 16;
    private static final Duration READY_TIME = Duration.ofSeconds(60);
    private static final Duration START_TIME = Duration.ofSeconds(60);
    private static final String ZONES = "\"eger\", \"miskolc\", \"salgotarjan\"";

    private final Experiment.Slopes options;
    private final PrintStream out;
    private final Map<DeploymentSize, Map<Quantity, Double>> measured = new HashMap<>();

    SlopesExperiment(Experiment.Slopes options, PrintStream out) {
        this.options = options;
        this.out = out;
    }

    /** Measures all axes and writes the results. */
    void run() throws IOException, InterruptedException {
        List<Series> series = new ArrayList<>();
        if (options.only.isEmpty() || options.only.equals("libraries")) {
            series.addAll(new LibraryCosts(out).measure());
        }
        for (Axis axis : Axis.values()) {
            if (options.only.isEmpty() || options.only.equals(axis.name())) {
                series.addAll(measure(axis));
            }
        }
        new SlopesReport(options.out).write(series, out);
    }

    private List<Series> measure(Axis axis) throws IOException, InterruptedException {
        Map<Quantity, List<Line.Point>> points = new HashMap<>();
        for (int size : axis.sizes()) {
            DeploymentSize deployment = DeploymentSize.of(axis, size);
            if (!measured.containsKey(deployment)) {
                measured.put(deployment, measure(deployment));
            }
            measured.get(deployment)
                    .forEach((quantity, value) -> points.computeIfAbsent(quantity, _ -> new ArrayList<>())
                            .add(new Line.Point(size, value)));
        }
        List<Series> series = new ArrayList<>();
        for (Quantity quantity : Quantity.values()) {
            series.add(new Series(axis.name(), quantity.label(), points.get(quantity)));
        }
        return series;
    }

    private Map<Quantity, Double> measure(DeploymentSize size) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("chestnutbarrow-slopes");
        try (Cluster cluster = Cluster.start(ClusterSpec.hivatal(size.daemons(), size.workers()), folder)) {
            cluster.awaitReady(READY_TIME);
            declare(cluster, size);
            submit(cluster, size);
            awaitTasks(cluster, size.tasks());
            Thread.sleep(Duration.ofSeconds(options.warmUpSeconds));
            List<ControlSample> from = ControlSample.take(cluster);
            Thread.sleep(Duration.ofSeconds(options.seconds));
            Map<Quantity, Double> rates = ControlSample.rates(from, ControlSample.take(cluster));
            out.println(size + " " + text(rates));
            return rates;
        } finally {
            Cluster.delete(folder);
        }
    }

    private static String text(Map<Quantity, Double> rates) {
        StringBuilder text = new StringBuilder();
        rates.forEach(
                (quantity, value) -> text.append(String.format(Locale.ROOT, "%s %.1f; ", quantity.label(), value)));
        return text.toString();
    }

    private static void declare(Cluster cluster, DeploymentSize size) throws IOException, InterruptedException {
        StringBuilder classes = new StringBuilder();
        classes.append("\"counter\": {\"team\": \"rental\","
                + " \"target\": {\"tailLatency\": {\"quantile\": 0.99, \"bound\": \"250ms\"}}},\n");
        classes.append("\"night\": " + batch("rental") + ",\n");
        classes.append("\"queued\": " + batch("small"));
        for (int i = DeploymentSize.BASE.classes(); i < size.classes(); i++) {
            classes.append(",\n\"extra-" + i + "\": " + batch("rental"));
        }
        Path file = Files.createTempFile("chestnutbarrow-slopes", ".jsonc");
        try {
            Files.writeString(
                    file,
                    "{\"availabilityZones\": [" + ZONES + "],\n\"teams\": {"
                            + "\"rental\": {\"quota\": {\"cores\": \"2000 cores\", \"memory\": \"8TiB\"}},"
                            + "\"small\": {\"quota\": {\"cores\": \"500 millicores\", \"memory\": \"64MiB\"}}},\n"
                            + "\"classes\": {" + classes + "}}");
            int code = cluster.cli(cluster.daemonNames(), List.of("apply", file.toString()));
            if (code != 0) {
                throw new IOException("declarations were not applied: exit code " + code);
            }
        } finally {
            Files.delete(file);
        }
    }

    private static String batch(String team) {
        return "{\"team\": \"" + team + "\", \"target\": {\"finishBy\": {\"time\": \"06:30\", \"timeZone\":"
                + " \"Europe/Budapest\"}}, \"demand\": {\"cores\": \"500 millicores\", \"memory\": \"64MiB\"}}";
    }

    /** Jobs of class "queued" wait, because their team's quota holds one task. */
    private static void submit(Cluster cluster, DeploymentSize size) throws IOException, InterruptedException {
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < size.tasks() / TASKS_PER_JOB; i++) {
            jobs.add("{\"id\":\"run-" + i + "\",\"workClass\":\"night\",\"tasks\":" + TASKS_PER_JOB + "}");
        }
        for (int i = 0; i < size.jobs(); i++) {
            jobs.add("{\"id\":\"wait-" + i + "\",\"workClass\":\"queued\"}");
        }
        try (ExecutorService submitters = Executors.newFixedThreadPool(SUBMITTERS)) {
            List<Callable<Integer>> calls = new ArrayList<>();
            for (int i = 0; i < jobs.size(); i++) {
                String name = cluster.daemonNames().get(i % size.daemons());
                Address daemon = cluster.daemon(name);
                String job = jobs.get(i);
                calls.add(() ->
                        cluster.post(daemon, "/v1/jobs", job).path("status").asInt());
            }
            for (Future<Integer> call : submitters.invokeAll(calls)) {
                requireAccepted(call.get());
            }
        } catch (ExecutionException e) {
            throw new IOException("a job was not submitted", e.getCause());
        }
    }

    private static void requireAccepted(int status) throws IOException {
        if (!Set.of(200, 201).contains(status)) {
            throw new IOException("a job was refused with status " + status);
        }
    }

    private static void awaitTasks(Cluster cluster, int tasks) throws InterruptedException {
        Journals journals = new Journals(cluster);
        Cluster.await(tasks + " tasks run", START_TIME, () -> {
            try {
                journals.collect();
            } catch (IOException e) {
                return false;
            }
            long started = journals.observations().stream()
                    .filter(seen -> seen instanceof Observation.TaskStarted)
                    .count();
            return started >= tasks;
        });
    }
}
