package org.chestnutbarrow.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.chestnutbarrow.capacity.CapacityLedger;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.Declarations;
import org.chestnutbarrow.model.Freshness;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.Target;
import org.chestnutbarrow.model.WorkClass;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against policies that give a worker more requests than it has slots or that miss a free slot. */
public class LoadBalancingPolicyTest {
    private static final AvailabilityZone ZONE = new AvailabilityZone("a");
    private static final WorkClass WORK_CLASS =
            new WorkClass("desk", "team", new Target.TailLatency(0.99, Duration.ofMillis(200)), Resources.ONE_REQUEST);
    private static final int WORKERS = 5;
    private static final int SLOTS = 3;
    private static final long SEED = 11;

    @DataProvider
    public Object[] policies() {
        return new Object[] {
            "cheapest-of-1", "cheapest-of-2", "cheapest-of-16", "round-robin", "random", "least-connections"
        };
    }

    @Test(dataProvider = "policies")
    public void usesEverySlotOnceAndThenQueuesRequests(String policy) {
        Router router = createRouter(policy);
        Map<WorkerId, Integer> used = new HashMap<>();
        for (int i = 0; i < WORKERS * SLOTS; i++) {
            RoutingDecision.Send send = (RoutingDecision.Send) router.route(newRequest(i));
            used.merge(send.reservation().worker().id(), 1, Integer::sum);
        }
        assertEquals(used.size(), WORKERS);
        assertTrue(used.values().stream().allMatch(count -> count == SLOTS), "slots used per worker: " + used);
        assertTrue(router.route(newRequest(99)) instanceof RoutingDecision.Wait);
    }

    @Test
    public void roundRobinUsesWorkersInTurn() {
        Router router = createRouter("round-robin");
        Map<WorkerId, Integer> used = new HashMap<>();
        for (int i = 0; i < WORKERS; i++) {
            RoutingDecision.Send send = (RoutingDecision.Send) router.route(newRequest(i));
            used.merge(send.reservation().worker().id(), 1, Integer::sum);
        }
        assertEquals(used.size(), WORKERS);
    }

    @Test
    public void refusesUnknownNames() {
        assertThrows(IllegalArgumentException.class, () -> LoadBalancingPolicy.parse("fastest"));
        assertThrows(IllegalArgumentException.class, () -> LoadBalancingPolicy.parse("cheapest-of-0"));
    }

    private static Router createRouter(String policy) {
        ManualTime time = new ManualTime();
        CapacityLedger ledger = new CapacityLedger(time);
        for (int i = 0; i < WORKERS; i++) {
            Worker worker = new Worker(
                    new WorkerId("w" + i),
                    ZONE,
                    "rack",
                    new Address("127.0.0.1", 1),
                    new Address("127.0.0.1", 2),
                    false,
                    new Resources(SLOTS, 64, 32_000, 1000, 0));
            long until = time.nanos() + Duration.ofHours(1).toNanos();
            ledger.open(worker, 1, until, List.of(), 0, Duration.ZERO);
        }
        Declarations declarations = new Declarations(new TreeMap<>(), new TreeMap<>(), new TreeSet<>(Set.of(ZONE)));
        Configuration configuration = new Configuration(1, "change", declarations, new TreeMap<>());
        Freshness fresh = new Freshness.Current(Duration.ZERO, true);
        return new Router(
                time,
                ledger,
                () -> configuration,
                () -> fresh,
                List::of,
                new Random(SEED),
                new RoutingOptions(LoadBalancingPolicy.parse(policy), true));
    }

    private static RoutingRequest newRequest(int number) {
        return new RoutingRequest(
                "r" + number, WORK_CLASS, true, Duration.ofMinutes(1).toNanos(), false);
    }
}
