package org.chestnutbarrow.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import org.chestnutbarrow.format.Json;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;

/**
 * Interactive load, batch jobs and a watcher on a deployment, and the judgement of what must hold whatever fails. Used
 * by one thread.
 *
 * <pre>{@code
 * Workload work = new Workload(cluster, Path.of("examples/hivatal/declarations.jsonc"));
 * work.declare();
 * work.startLoad(100);
 * cluster.processes().kill("entry-1");
 * LoadResult load = work.stopLoad();
 * List<String> broken = work.broken();
 * }</pre>
 */
public final class Workload implements AutoCloseable {
    private static final String INTERACTIVE = "fitting-check";
    private static final String BATCH = "season-reconcile";
    private static final String WATCHER = "stock-watch";
    private static final double NON_IDEMPOTENT = 0.2;
    private static final Duration LOAD_TIME = Duration.ofHours(1);
    private static final Duration DEADLINE = Duration.ofSeconds(2);
    private static final Duration WATCH_EVERY = Duration.ofMillis(200);
    private static final Duration WATCH_TIME = Duration.ofSeconds(1);

    private final Cluster cluster;
    private final Path declarations;
    private final Journals journals;
    private final Map<String, Integer> jobs = new HashMap<>();
    private final Set<String> refused = new HashSet<>();
    private final Set<String> nonIdempotent = new HashSet<>();
    private final List<String> faults = new ArrayList<>();
    private final Map<String, Long> versions = new ConcurrentHashMap<>();
    private final Set<String> restarting = ConcurrentHashMap.newKeySet();
    private final AtomicReference<String> reverted = new AtomicReference<>();
    private Thread watch;
    private LoadGenerator load;
    private Thread sender;
    private long seed;

    /** Creates a workload that is not running yet. */
    public Workload(Cluster cluster, Path declarations) {
        this.cluster = cluster;
        this.declarations = declarations;
        this.journals = new Journals(cluster);
    }

    /** Applies the declarations, submits the watcher and begins to watch the versions of all daemons. */
    public void declare() throws IOException, InterruptedException {
        if (cluster.cli(cluster.daemonNames(), List.of("apply", declarations.toString())) != 0) {
            throw new IOException("the declarations are not in force; see cli.out in the deployment's folder");
        }
        submit("watch", WATCHER, 2, 0);
        watch = Thread.ofPlatform().name("versions").daemon().start(this::watchVersions);
    }

    /** Submits a batch job that has to finish; {@link #awaitJobs} waits for it. */
    public void submitBatch(String id, int tasks, int runMs) throws IOException {
        submit(id, BATCH, tasks, runMs);
        jobs.put(id, tasks);
    }

    private void submit(String id, String workClass, int tasks, int runMs) throws IOException {
        JsonNode answer = submit(cluster.daemonNames().get(0), id, workClass, tasks, runMs);
        if (!answer.path("result").asText().equals("accepted")) {
            throw new IOException("job " + id + " was not accepted: " + answer);
        }
    }

    /** Submits a batch job to a daemon, whatever becomes of it; returns the answer. */
    public JsonNode trySubmit(String daemon, String id, int tasks, int runMs) throws IOException {
        return submit(daemon, id, BATCH, tasks, runMs);
    }

    private JsonNode submit(String daemon, String id, String workClass, int tasks, int runMs) throws IOException {
        String job = String.format(
                Locale.ROOT,
                "{\"id\":\"%s\",\"workClass\":\"%s\",\"tasks\":%d,\"runMs\":%d}",
                id,
                workClass,
                tasks,
                runMs);
        return cluster.post(cluster.daemon(daemon), "/v1/jobs", job);
    }

    /** Changes the state of a zone at a daemon; returns its answer. */
    public JsonNode zone(String daemon, String zone, String state) throws IOException {
        Address address = cluster.daemon(daemon);
        long base = cluster.get(address, "/v1/configuration").path("version").asLong();
        String body = String.format(
                Locale.ROOT,
                "{\"id\":\"zone-%d\",\"baseVersion\":%d,\"author\":\"workload\",\"state\":\"%s\"}",
                System.nanoTime(),
                base,
                state);
        return cluster.post(address, "/v1/zones/" + zone, body);
    }

    /** Sends interactive requests, a fifth of them non-idempotent, to all daemons until {@link #stopLoad}. */
    public void startLoad(double perSecond) {
        seed++;
        LoadSpec spec = new LoadSpec(INTERACTIVE, perSecond, LOAD_TIME, NON_IDEMPOTENT, DEADLINE, seed);
        List<Address> entries =
                cluster.daemonNames().stream().map(cluster::daemon).toList();
        LoadGenerator generator = new LoadGenerator(cluster.http(), entries, spec);
        load = generator;
        sender = Thread.ofPlatform().name("load").daemon().start(() -> {
            try {
                generator.run();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** What became of the running load's requests so far. */
    public LoadResult loadSoFar() {
        return load.result();
    }

    /** Ends the load, waits for the last answer, and adds it to what is judged. */
    public LoadResult stopLoad() throws InterruptedException {
        sender.interrupt();
        sender.join();
        LoadResult result = load.result();
        refused.addAll(result.refused());
        nonIdempotent.addAll(result.nonIdempotent());
        if (result.wrong() > 0) {
            faults.add(result.wrong() + " answers were not whole or belonged to another request");
        }
        return result;
    }

    /** Tells the watch that a daemon loses what it knew, so that its version counts again once it is ready. */
    public void restarts(String daemon) {
        restarting.add(daemon);
    }

    /** Waits until every task of every batch job has finished by the workers' journals. */
    public void awaitJobs(Duration atMost) throws InterruptedException {
        Cluster.await("all batch tasks have finished", atMost, () -> finished() >= tasks());
    }

    /** Number of tasks that all batch jobs have together. */
    public long tasks() {
        return jobs.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Number of batch tasks that have finished by the workers' journals. */
    public long finished() {
        return observations().stream()
                .filter(seen -> seen instanceof Observation.TaskEnded end
                        && end.state().equals("FINISHED")
                        && jobs.containsKey(end.task().substring(0, end.task().lastIndexOf('/'))))
                .count();
    }

    /** All that the workers recorded up to now. */
    public List<Observation> observations() {
        try {
            journals.collect();
            return journals.observations();
        } catch (IOException e) {
            throw new IllegalStateException("the workers' journals cannot be read", e);
        }
    }

    /** Workers by id. */
    public Map<String, Journals.WorkerInfo> workers() {
        return journals.workers();
    }

    /** What started in a zone from a time that it had to be out by to a time before it came back. */
    public List<String> startedInZone(String zone, long fromMs, long toMs) {
        return Judge.startedInZone(observations(), workers(), zone, fromMs, toMs);
    }

    /** Starts of requests and tasks in a zone from a time on. */
    List<Observation> startsInZone(String zone, long fromMs) {
        return observations().stream()
                .filter(seen -> seen instanceof Observation.TaskStarted || seen instanceof Observation.RequestStarted)
                .filter(seen -> seen.atMs() >= fromMs
                        && workers().get(seen.worker()).zone().equals(zone))
                .toList();
    }

    /** What broke since the start of the deployment; an empty list if all that must hold did. */
    public List<String> broken() {
        List<Observation> seen = observations();
        List<String> broken = new ArrayList<>(faults);
        if (journals.dropped() > 0) {
            broken.add("the journals are not complete");
        }
        broken.addAll(Judge.overCommitted(seen, workers()));
        broken.addAll(Judge.ranTwiceAtOnce(seen));
        broken.addAll(Judge.finishedTwice(seen));
        broken.addAll(Judge.resumedTwice(seen));
        broken.addAll(Judge.ranMoreThanOnce(seen, nonIdempotent));
        broken.addAll(Judge.ranAlthoughRefused(seen, refused));
        String lower = reverted.get();
        if (lower != null) {
            broken.add(lower);
        }
        return broken;
    }

    /** Milliseconds from a time to the first start on each worker under a lease granted after it. */
    public Map<String, Long> firstStarts(Set<String> held, long fromMs) {
        Map<String, Long> first = new HashMap<>();
        Set<String> granted = new HashSet<>();
        for (Observation seen : observations()) {
            if (seen.atMs() < fromMs || !held.contains(seen.worker())) {
                continue;
            }
            switch (seen) {
                case Observation.LeaseGranted grant -> granted.add(grant.worker());
                case Observation.TaskStarted _, Observation.RequestStarted _ -> {
                    if (granted.contains(seen.worker())) {
                        first.putIfAbsent(seen.worker(), seen.atMs() - fromMs);
                    }
                }
                case Observation.TaskEnded _, Observation.InUse _ -> {}
            }
        }
        return first;
    }

    /** Workers whose lease was granted to a daemon last. */
    public Set<String> heldBy(String daemon) {
        Map<String, String> holders = new HashMap<>();
        for (Observation seen : observations()) {
            if (seen instanceof Observation.LeaseGranted grant) {
                holders.put(grant.worker(), grant.holder());
            }
        }
        Set<String> held = new HashSet<>();
        holders.forEach((worker, holder) -> {
            // A holder's name is the daemon's with its incarnation.
            if (holder.startsWith(daemon + ":")) {
                held.add(worker);
            }
        });
        return held;
    }

    private void watchVersions() {
        try {
            while (true) {
                for (String daemon : cluster.daemonNames()) {
                    watch(daemon);
                }
                Thread.sleep(WATCH_EVERY);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void watch(String daemon) {
        Address address = cluster.daemon(daemon);
        if (restarting.contains(daemon)) {
            if (send(address, "/ready").filter(answer -> answer.status() == 200).isEmpty()) {
                return;
            }
            restarting.remove(daemon);
        }
        long version = send(address, "/v1/configuration").map(Workload::version).orElse(-1L);
        // A daemon that was killed meanwhile answers neither here nor with an older version.
        if (version >= 0 && !restarting.contains(daemon)) {
            Long before = versions.put(daemon, version);
            if (before != null && before > version) {
                reverted.compareAndSet(
                        null, "configuration version of " + daemon + " fell from " + before + " to " + version);
            }
        }
    }

    private static long version(HttpResponse response) {
        try {
            return Json.MAPPER.readTree(response.body()).path("version").asLong(-1);
        } catch (IOException e) {
            return -1;
        }
    }

    private Optional<HttpResponse> send(Address address, String target) {
        try {
            return Optional.of(cluster.http().send(address, HttpRequest.get(target), WATCH_TIME));
        } catch (NotRunException | OutcomeUnknownException e) {
            return Optional.empty();
        }
    }

    /** Ends the load and the watch. */
    @Override
    public void close() {
        if (watch != null) {
            watch.interrupt();
        }
        if (sender != null) {
            sender.interrupt();
        }
    }
}
