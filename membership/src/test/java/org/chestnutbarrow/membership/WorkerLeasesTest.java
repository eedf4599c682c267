package org.chestnutbarrow.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Freshness;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against bursts of claims and handovers, and against releasing workers that still have work. */
public class WorkerLeasesTest {
    private static final DaemonId A = new DaemonId("a");
    private static final DaemonId B = new DaemonId("b");

    private ManualTime time;
    private WorkerLeases leases;

    @BeforeMethod
    public void createLeases() {
        time = new ManualTime();
        leases = new WorkerLeases(A, 1, time);
    }

    @Test
    public void spreadsClaimsAfterStart() {
        leases.updateHosts(workers(400, false));
        int maxClaims = 0;
        for (int i = 0; i < 10; i++) {
            time.advance(Duration.ofMillis(50));
            maxClaims = Math.max(maxClaims, tick(Set.of(A), 0).size());
        }
        assertTrue(maxClaims > 0 && maxClaims < 100, "maximum number of claims in one tick: " + maxClaims);
    }

    @Test
    public void limitsConcurrentHandovers() {
        leases.updateHosts(workers(400, false));
        runTicks(15, 1);
        Set<WorkerId> paused = new TreeSet<>();
        for (int i = 0; i < 100; i++) {
            time.advance(Duration.ofMillis(50));
            for (LeaseAction action : tick(Set.of(A, B), 1)) {
                if (action instanceof LeaseAction.Pause pause) {
                    paused.add(pause.worker().id());
                }
                grant(action, 1);
            }
        }
        assertEquals(paused.size(), WorkerLeases.MAX_CONCURRENT_HANDOVERS);
    }

    @Test
    public void keepsAHeldWorkerThatIsMissingFromTheHostList() {
        leases.updateHosts(workers(1, false));
        runTicks(15, 1);
        leases.updateHosts(List.of());
        List<LeaseAction> actions = runTicks(40, 1);
        assertTrue(actions.size() > 1);
        assertTrue(actions.stream().allMatch(LeaseAction.Renew.class::isInstance), actions.toString());
    }

    @Test
    public void holdsALeavingWorkerUntilItsTasksHaveEnded() {
        leases.updateHosts(workers(1, true));
        runTicks(15, 1);
        assertTrue(runTicks(40, 1).stream().allMatch(LeaseAction.Renew.class::isInstance));
        List<LeaseAction> actions = runTicks(40, 0);
        assertTrue(actions.getLast() instanceof LeaseAction.Release, actions.toString());
        leases.onEvent(new LeaseEvent.Released(actions.getLast().worker().id()));
        assertEquals(runTicks(80, 0), List.of(), "an idle leaving worker was claimed again");
    }

    private static List<Worker> workers(int count, boolean leaving) {
        Address address = Address.parse("127.0.0.1:1");
        AvailabilityZone zone = new AvailabilityZone("z");
        return IntStream.range(0, count)
                .mapToObj(i -> new WorkerId("w" + i))
                .map(id -> new Worker(id, zone, "r", address, address, leaving, Resources.ONE_REQUEST))
                .toList();
    }

    private List<LeaseAction> runTicks(int ticks, int tasks) {
        List<LeaseAction> all = new ArrayList<>();
        for (int i = 0; i < ticks; i++) {
            time.advance(Duration.ofMillis(50));
            List<LeaseAction> actions = tick(Set.of(A), 0);
            actions.forEach(action -> grant(action, tasks));
            all.addAll(actions);
        }
        return all;
    }

    private List<LeaseAction> tick(Set<DaemonId> eligible, int requests) {
        Freshness fresh = new Freshness.Current(Duration.ZERO, true);
        return leases.tick(new LeaseContext(eligible, fresh, worker -> false, worker -> requests));
    }

    private void grant(LeaseAction action, int tasks) {
        if (action instanceof LeaseAction.Claim || action instanceof LeaseAction.Renew) {
            leases.onEvent(new LeaseEvent.Granted(action.worker().id(), 1, time.nanos(), tasks));
        }
    }
}
