package org.chestnutbarrow.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.chestnutbarrow.capacity.CapacityLedger;
import org.chestnutbarrow.capacity.Reservation;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.Declarations;
import org.chestnutbarrow.model.Freshness;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.Target;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.WorkClass;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.routing.Router;
import org.chestnutbarrow.routing.RoutingDecision;
import org.chestnutbarrow.routing.RoutingRequest;
import org.chestnutbarrow.routing.SendResult;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.results.format.ResultFormatType;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;

/** Cost of a routing decision together with taking its result, by number of held workers. Used by one thread. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class RoutingCost {
    private static final int SLOTS = 8;
    private static final Duration LEASE = Duration.ofDays(1);
    private static final Duration BOUND = Duration.ofMillis(250);
    private static final SendResult ANSWERED = new SendResult.Answered(Duration.ofMillis(20), 200);
    private static final WorkClass WORK =
            new WorkClass("desk", "team", new Target.TailLatency(0.99, BOUND), Resources.ONE_REQUEST);

    /** Held workers. */
    @Param({"15", "45", "450", "1400", "11000"})
    public int workers;

    /** Whether all but one of the workers have no free slot. */
    @Param({"false", "true"})
    public boolean full;

    private Router router;
    private RoutingRequest request;

    /** Runs all cases and writes the results as JSON. */
    static void run(Path out) throws IOException, RunnerException {
        Files.createDirectories(out.toAbsolutePath().getParent());
        new Runner(new OptionsBuilder()
                        .include(RoutingCost.class.getName())
                        .resultFormat(ResultFormatType.JSON)
                        .result(out.toString())
                        .build())
                .run();
    }

    /** Opens the accounts and fills them up. */
    @Setup
    public void open() {
        CapacityLedger accounts = new CapacityLedger(TimeSource.SYSTEM);
        AvailabilityZone zone = new AvailabilityZone("a");
        long until = System.nanoTime() + LEASE.toNanos();
        for (int i = 0; i < workers; i++) {
            WorkerId id = new WorkerId("w" + i);
            Worker worker = new Worker(
                    id,
                    zone,
                    "rack-" + i / SLOTS,
                    new Address("127.0.0.1", 1),
                    new Address("127.0.0.1", 2),
                    false,
                    new Resources(SLOTS, 64, 64_000, 250_000, 0));
            accounts.open(worker, 1, until, List.of(), 0, Duration.ZERO);
            int used = full ? (i == workers / 2 ? SLOTS - 1 : SLOTS) : 0;
            for (int slot = 0; slot < used; slot++) {
                Optional<Reservation> hold = accounts.reserve(id, Resources.ONE_REQUEST);
                if (hold.isEmpty()) {
                    throw new IllegalStateException("worker " + id + " has fewer slots than declared");
                }
            }
        }
        Freshness fresh = new Freshness.Current(Duration.ZERO, true);
        Declarations declarations = new Declarations(new TreeMap<>(), new TreeMap<>(), new TreeSet<>(Set.of(zone)));
        Configuration configuration = new Configuration(1, "c1", declarations, new TreeMap<>());
        router = new Router(TimeSource.SYSTEM, accounts, () -> configuration, () -> fresh, List::of, new Random(1));
        request = new RoutingRequest("1-1", WORK, true, until, false);
    }

    /** Decides on one request and gives its slot back. */
    @Benchmark
    public Object decide() {
        RoutingDecision decision = router.route(request);
        if (decision instanceof RoutingDecision.Send send) {
            return router.complete(request, send.reservation(), ANSWERED);
        }
        throw new IllegalStateException("a free slot was not found: " + decision);
    }
}
