package org.chestnutbarrow.daemon;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Supplier;
import org.chestnutbarrow.capacity.AvailableCapacity;
import org.chestnutbarrow.capacity.CapacityLedger;
import org.chestnutbarrow.catalog.Catalog;
import org.chestnutbarrow.catalog.JobState;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Freshness;
import org.chestnutbarrow.model.Job;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Target;
import org.chestnutbarrow.model.WorkClass;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.routing.Router;

/** What the daemon knows, for people. Safe for use by several threads. */
final class StatusApi {
    private final DaemonId self;
    private final Catalog catalog;
    private final CapacityLedger accounts;
    private final Router router;
    private final LatencyWindows latencies;
    private final Supplier<Freshness> freshness;
    private final Supplier<Set<DaemonId>> alive;
    private final Supplier<Collection<Worker>> workers;
    private final Function<String, List<String>> explanation;

    /**
     * Creates the interface.
     *
     * @param explanation lines that this daemon or a peer has on a request or job
     */
    StatusApi(
            DaemonId self,
            Catalog catalog,
            CapacityLedger accounts,
            Router router,
            LatencyWindows latencies,
            Supplier<Freshness> freshness,
            Supplier<Set<DaemonId>> alive,
            Supplier<Collection<Worker>> workers,
            Function<String, List<String>> explanation) {
        this.self = self;
        this.catalog = catalog;
        this.accounts = accounts;
        this.router = router;
        this.latencies = latencies;
        this.freshness = freshness;
        this.alive = alive;
        this.workers = workers;
        this.explanation = explanation;
    }

    HttpResponse status() {
        Configuration configuration = catalog.configuration();
        Freshness now = freshness.get();
        List<AvailableCapacity> rooms = accounts.available();
        ObjectNode answer = ApiResponses.newObject()
                .put("daemon", self.value())
                .put("configurationVersion", configuration.version())
                .put("logPosition", catalog.position())
                .put("freshness", describe(now))
                .put("configurationAgeMs", now.age().toMillis())
                .put("workersOwned", rooms.size());
        ArrayNode daemons = answer.putArray("daemonsAlive");
        alive.get().forEach(daemon -> daemons.add(daemon.value()));
        answer.set("zones", zones(configuration));
        answer.set("classes", classes(configuration));
        answer.set("jobs", jobs());
        return ApiResponses.json(200, answer);
    }

    HttpResponse explain(String id) {
        try {
            Checks.identifier("id", id);
        } catch (IllegalArgumentException e) {
            return ApiResponses.error(400, "not-applied", e.getMessage());
        }
        Optional<JobState> job = catalog.job(new JobId(id));
        List<String> lines = new ArrayList<>(explanation.apply(id));
        if (job.isEmpty() && lines.isEmpty()) {
            return ApiResponses.error(
                    404, "not-applied", "no request or job with this id is known; old ones are dropped");
        }
        ObjectNode answer = job.map(JobApi::describe)
                .orElseGet(() -> ApiResponses.newObject().put("id", id));
        ArrayNode decisions = answer.putArray("decisions");
        lines.forEach(decisions::add);
        return ApiResponses.json(200, answer);
    }

    private static String describe(Freshness freshness) {
        return switch (freshness) {
            case Freshness.Current current -> current.ownRead() ? "current" : "current-by-peer";
            case Freshness.Vouched vouched -> "vouched-by-" + vouched.vouchers();
            case Freshness.Stale _ -> "stale";
        };
    }

    private ArrayNode zones(Configuration configuration) {
        ArrayNode zones = ApiResponses.newObject().arrayNode();
        for (AvailabilityZone zone : configuration.declarations().zones()) {
            long count = workers.get().stream()
                    .filter(worker -> worker.zone().equals(zone))
                    .count();
            zones.addObject()
                    .put("zone", zone.value())
                    .put("state", configuration.startsAllowed(zone) ? "IN" : "OUT")
                    .put("workers", count);
        }
        return zones;
    }

    private ArrayNode classes(Configuration configuration) {
        ArrayNode classes = ApiResponses.newObject().arrayNode();
        for (WorkClass work : configuration.declarations().classes().values()) {
            ObjectNode row = classes.addObject().put("class", work.name()).put("target", describe(work.target()));
            String measured = switch (work.target()) {
                case Target.TailLatency latency ->
                    latencies
                            .quantile(work.name(), latency.quantile())
                            .map(Duration::toMillis)
                            .map(millis -> millis + " ms")
                            .orElse("no requests");
                case Target.FinishBy _, Target.AlwaysOn _ -> "";
            };
            row.put("measured", measured).put("waiting", router.waitingRequests(work.name()));
        }
        return classes;
    }

    private static String describe(Target target) {
        return switch (target) {
            case Target.TailLatency latency ->
                "p" + latency.quantile() * 100 + " within " + latency.bound().toMillis() + " ms";
            case Target.FinishBy finish -> "finish by " + finish.time() + " " + finish.zone();
            case Target.AlwaysOn _ -> "always on";
        };
    }

    private ArrayNode jobs() {
        Map<String, int[]> counts = new TreeMap<>();
        for (int shard = 0; shard < Job.SHARDS; shard++) {
            for (JobState state : catalog.jobs(shard)) {
                if (state.ended().isEmpty()) {
                    int[] count = counts.computeIfAbsent(state.job().workClass(), _ -> new int[3]);
                    count[0]++;
                    count[1] += state.job().tasks();
                    count[2] += state.finished().size();
                }
            }
        }
        ArrayNode rows = ApiResponses.newObject().arrayNode();
        counts.forEach((name, count) -> rows.addObject()
                .put("class", name)
                .put("openJobs", count[0])
                .put("tasks", count[1])
                .put("finished", count[2]));
        return rows;
    }
}
