package org.chestnutbarrow.soak;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.chestnutbarrow.http.HttpLimits;
import org.chestnutbarrow.http.HttpServer;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.TimeSource;

/** One play: nodes, store, workers and clients under the faults of a seed, and the check of what was seen. Used by one thread. */
final class Play implements AutoCloseable {
    private static final int WORKER_CPU = 4000;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration POLL = Duration.ofMillis(100);
    /** A run that an owner wrongly takes for missing is released after 1.2 s and started again. */
    private static final Duration MIN_CALM = Duration.ofSeconds(5);

    private static final Duration ASK_ALL_TIMEOUT = Duration.ofSeconds(10);
    /** Number of jobs that serve during a play with images. */
    private static final int SERVING_JOBS = 4;
    /** Mean time between two jobs. */
    private static final int JOB_INTERVAL_MS = 90;

    private static final HttpLimits STORE_LIMITS =
            new HttpLimits(16 * 1024, 4 * 1024 * 1024, 4096, Duration.ofSeconds(10), Duration.ofMinutes(1));

    private final PlaySettings settings;
    private final TimeSource time;
    private final SplittableRandom random;
    private final History history;
    private final Path folder;
    private final Store store;
    /** The store as each node reaches it. */
    private final List<DisturbedHandler> storeCalls = new ArrayList<>();

    private final List<HttpServer> storeServers = new ArrayList<>();
    private final AtomicInteger unorderedLists = new AtomicInteger();
    private final List<WorkerStandIn> workers = new ArrayList<>();
    private final List<NodeProcess> nodes = new ArrayList<>();
    private final ClientCalls calls;
    private final Clients clients;
    private final Crowds crowds = new Crowds();
    private final FaultInjector injector;

    private Play(PlaySettings settings, TimeSource time) throws IOException, InvalidInputException {
        this.settings = settings;
        this.time = time;
        this.random = new SplittableRandom(settings.seed());
        this.history = new History(time);
        this.folder = Files.createTempDirectory("soak-" + settings.seed() + "-");
        this.store = new Store(time);
        for (int i = 0; i < settings.nodes(); i++) {
            DisturbedHandler handler = new DisturbedHandler(new StoreApi(store), random.split());
            HttpServer server = HttpServer.start(new Address("127.0.0.1", 0), STORE_LIMITS, handler);
            storeCalls.add(handler);
            storeServers.add(server);
            nodes.add(new NodeProcess("n" + i, settings.root(), folder, server.address()));
        }
        this.calls = new ClientCalls(nodes, history);
        this.clients = new Clients(calls, history);
        for (int i = 0; i < settings.workers(); i++) {
            workers.add(WorkerStandIn.start(
                    "w" + i, WORKER_CPU, store, history, time, random.split(), () -> unorderedLists.get() > 0));
        }
        this.injector = new FaultInjector(store, storeCalls, nodes, workers, unorderedLists);
        store.put(Store.CONTROL, "config", configuration());
    }

    /** Plays the faults of the seed and checks. The output of the nodes is deleted if there is no finding. */
    static PlayResult run(PlaySettings settings, TimeSource time)
            throws IOException, InvalidInputException, InterruptedException {
        List<Fault.Timed> faults = FaultSchedule.create(
                new SplittableRandom(settings.seed()),
                settings.load(),
                settings.nodes(),
                settings.workers(),
                settings.families());
        return run(settings, faults, time);
    }

    /** Plays the given faults and checks. */
    static PlayResult run(PlaySettings settings, List<Fault.Timed> faults, TimeSource time)
            throws IOException, InvalidInputException, InterruptedException {
        PlayResult result;
        try (Play play = new Play(settings, time)) {
            result = play.run(faults);
        }
        if (!result.failed()) {
            delete(result.logs());
        }
        return result;
    }

    /** Each node has a queue, because clients send its address as the name of the host. */
    private String configuration() {
        ObjectNode root = Json.object().put("version", 1);
        ArrayNode routes = root.putArray("routes");
        for (NodeProcess node : nodes) {
            routes.addObject()
                    .put("name", node.name())
                    .put("host", node.apiAddress().toString())
                    .put("path_prefix", ClientCalls.PREFIX)
                    .put("service", WorkerStandIn.SERVICE)
                    .put("max_attempts", 3)
                    .put("target_latency_ms", 300);
        }
        return Json.text(root);
    }

    private PlayResult run(List<Fault.Timed> faults) throws IOException, InterruptedException {
        for (NodeProcess node : nodes) {
            node.start();
        }
        awaitReady();
        if (settings.crowds()) {
            crowds.start(nodes);
        }
        Files.writeString(folder.resolve("load-start.txt"), Finding.seconds(history.now()) + "\n");
        injector.start(faults);
        submitJobs();
        injector.await();
        awaitEnds();
        boolean nodesUp = calls.allReady();
        clients.askAll(ASK_ALL_TIMEOUT);
        workers.forEach(WorkerStandIn::advance);
        PlayResult result = result(faults.size(), nodesUp);
        Files.write(
                folder.resolve("faults.txt"),
                faults.stream().map(Fault.Timed::toString).toList());
        Files.write(
                folder.resolve("history.txt"),
                history.sorted().stream().map(Observation::toString).toList());
        return result;
    }

    private void awaitReady() throws IOException, InterruptedException {
        long deadline = time.nanos() + START_TIMEOUT.toNanos();
        while (!calls.allReady()) {
            if (time.nanos() - deadline > 0) {
                throw new IOException("the nodes are not ready after " + START_TIMEOUT + "; see " + folder);
            }
            Thread.sleep(POLL);
        }
    }

    private void submitJobs() throws InterruptedException {
        SplittableRandom plans = random.split();
        if (settings.images()) {
            for (int i = 0; i < SERVING_JOBS; i++) {
                clients.startServing(JobPlan.serving("s" + settings.seed() + "-serving-" + i), plans.split());
            }
        }
        long end = time.nanos() + settings.load().toNanos();
        for (int i = 0; end - time.nanos() > 0; i++) {
            JobPlan plan =
                    JobPlan.create(plans, "s" + settings.seed() + "-" + i, settings.repeats(), settings.images());
            clients.start(plan, plans.split());
            Thread.sleep(plans.nextInt(2 * JOB_INTERVAL_MS));
        }
    }

    private void awaitEnds() throws InterruptedException {
        long start = time.nanos();
        Thread.sleep(MIN_CALM);
        while (!clients.unfinished().isEmpty()
                && time.nanos() - start < settings.calm().toNanos()) {
            Thread.sleep(POLL);
        }
    }

    private PlayResult result(int faults, boolean nodesUp) {
        List<Observation> seen = history.sorted();
        List<Finding> findings = new ArrayList<>(Checker.check(seen));
        Set<String> started = seen.stream()
                .filter(Observation.Started.class::isInstance)
                .map(o -> ((Observation.Started) o).task().job())
                .collect(Collectors.toSet());
        List<String> unfinished = List.copyOf(clients.unfinished());
        if (nodesUp) {
            unfinished.stream()
                    .filter(job -> !started.contains(job))
                    .forEach(job -> findings.add(new Finding(
                            Finding.Rule.NOT_RUN,
                            "job " + job,
                            "nothing of it ran until " + Finding.seconds(history.now()))));
        }
        if (store.refusedForSize() > 0) {
            findings.add(new Finding(Finding.Rule.TOO_LARGE, "appends", String.valueOf(store.refusedForSize())));
        }
        long starts =
                seen.stream().filter(Observation.Started.class::isInstance).count();
        return new PlayResult(
                settings.seed(),
                clients.accepted().size(),
                (int) starts,
                faults,
                unfinished,
                ShownStates.staleAnswers(seen),
                findings,
                history.now(),
                folder);
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> {
                try {
                    Files.delete(file);
                } catch (IOException e) {
                    throw new UncheckedIOException("cannot delete " + file, e);
                }
            });
        }
    }

    @Override
    public void close() {
        crowds.close();
        clients.close();
        injector.close();
        nodes.forEach(NodeProcess::close);
        calls.close();
        workers.forEach(WorkerStandIn::close);
        storeServers.forEach(HttpServer::close);
    }
}
