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

/** Guards against bursts of claims and hand-overs, and against giving up workers that still have work. */
public class WorkerLeasesTest {
    private static final DaemonId A = new DaemonId("a");
    private static final DaemonId B = new DaemonId("b");

    private ManualTime time;
    private WorkerLeases leases;

    @BeforeMethod
    public void create() {
        time = new ManualTime();
        leases = new WorkerLeases(A, 1, time);
    }

    @Test
    public void spreadsTheClaimsOfAStart() {
        leases.hosts(workers(400, false));
        int most = 0;
        for (int i = 0; i < 10; i++) {
            time.advance(Duration.ofMillis(50));
            most = Math.max(most, tick(Set.of(A), 0).size());
        }
        assertTrue(most > 0 && most < 100, "claims in one tick: " + most);
    }

    @Test
    public void handsOverAFewWorkersAtATime() {
        leases.hosts(workers(400, false));
        run(15, 1);
        Set<WorkerId> paused = new TreeSet<>();
        for (int i = 0; i < 100; i++) {
            time.advance(Duration.ofMillis(50));
            for (LeaseEffect effect : tick(Set.of(A, B), 1)) {
                if (effect instanceof LeaseEffect.Pause pause) {
                    paused.add(pause.worker().id());
                }
                grant(effect, 1);
            }
        }
        assertEquals(paused.size(), WorkerLeases.MAX_HAND_OVERS);
    }

    @Test
    public void keepsAWorkerThatIsMissingOnTheHostList() {
        leases.hosts(workers(1, false));
        run(15, 1);
        leases.hosts(List.of());
        List<LeaseEffect> effects = run(40, 1);
        assertTrue(effects.size() > 1);
        assertTrue(effects.stream().allMatch(LeaseEffect.Renew.class::isInstance), effects.toString());
    }

    @Test
    public void holdsALeavingWorkerUntilItsTasksHaveMoved() {
        leases.hosts(workers(1, true));
        run(15, 1);
        assertTrue(run(40, 1).stream().allMatch(LeaseEffect.Renew.class::isInstance));
        List<LeaseEffect> effects = run(40, 0);
        assertTrue(effects.getLast() instanceof LeaseEffect.Release, effects.toString());
        leases.on(new LeaseEvent.Released(effects.getLast().worker().id()));
        assertEquals(run(80, 0), List.of(), "an empty leaving worker was claimed again");
    }

    private static List<Worker> workers(int count, boolean leaving) {
        Address address = Address.parse("127.0.0.1:1");
        AvailabilityZone zone = new AvailabilityZone("z");
        return IntStream.range(0, count)
                .mapToObj(i -> new WorkerId("w" + i))
                .map(id -> new Worker(id, zone, "r", address, address, leaving, Resources.ONE_REQUEST))
                .toList();
    }

    private List<LeaseEffect> run(int ticks, int tasks) {
        List<LeaseEffect> all = new ArrayList<>();
        for (int i = 0; i < ticks; i++) {
            time.advance(Duration.ofMillis(50));
            List<LeaseEffect> effects = tick(Set.of(A), 0);
            effects.forEach(effect -> grant(effect, tasks));
            all.addAll(effects);
        }
        return all;
    }

    private List<LeaseEffect> tick(Set<DaemonId> eligible, int requests) {
        Freshness fresh = new Freshness.Current(Duration.ZERO, true);
        return leases.tick(new LeaseView(eligible, fresh, worker -> false, worker -> requests));
    }

    private void grant(LeaseEffect effect, int tasks) {
        if (effect instanceof LeaseEffect.Claim || effect instanceof LeaseEffect.Renew) {
            leases.on(new LeaseEvent.Granted(effect.worker().id(), 1, time.nanos(), tasks));
        }
    }
}
