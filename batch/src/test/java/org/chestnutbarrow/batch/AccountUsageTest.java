package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.chestnutbarrow.batch.WorkerReport.EndKind;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.testng.annotations.Test;

/** Tests caps and shares of client accounts. */
public class AccountUsageTest {
    private static final Resources NO_CAP = Resources.NONE;

    private static Account account(String name, double weight, Resources cap) {
        return new Account(name, weight, weight, cap);
    }

    private static Resources cores(int cores) {
        return new Resources(0, 0, 1000 * cores, 0, 0);
    }

    private static void configure(SchedulerFixture fixture, Account... accounts) {
        fixture.scheduler.configureAccounts(
                List.of(accounts).stream().collect(Collectors.toMap(Account::name, Function.identity())));
    }

    private static JobSpec job(SchedulerFixture fixture, String id, String account, Step step) {
        return new JobSpec(
                new JobId(id), SchedulerFixture.QUEUE, account, fixture.time.now(), "payload", List.of(step));
    }

    private static Step tasks(int count) {
        return SchedulerFixture.step(count, 1000, Step.Behaviour.PLAIN);
    }

    private static Map<Character, Long> startsByAccount(List<Order.Start> starts) {
        return starts.stream()
                .collect(Collectors.groupingBy(
                        start -> start.task().job().value().charAt(0), Collectors.counting()));
    }

    /** Guards against an account that runs more than its cap, or less while room is free. */
    @Test
    public void accountRunsUpToItsCap() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2");
        configure(fixture, account("a", 1, cores(3)), account("b", 1, NO_CAP));
        fixture.add(job(fixture, "a1", "a", tasks(4)));
        fixture.add(job(fixture, "a2", "a", tasks(4)));
        fixture.add(job(fixture, "b1", "b", tasks(4)));
        List<Order.Start> starts = fixture.starts();
        assertEquals(startsByAccount(starts), Map.of('a', 3L, 'b', 4L));
        Order.Start first = starts.stream()
                .filter(start -> start.task().job().value().startsWith("a"))
                .findFirst()
                .orElseThrow();
        assertEquals(fixture.starts(), List.of());
        fixture.report(first.worker().value(), List.of(), List.of(SchedulerFixture.ended(1, first, EndKind.DONE)));
        assertEquals(startsByAccount(fixture.starts()), Map.of('a', 1L));
    }

    /** Guards against a stopped run that no longer counts although its worker still runs it. */
    @Test
    public void stoppedRunCountsUntilItsEnd() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2");
        configure(fixture, account("a", 1, cores(1)));
        fixture.add(job(fixture, "a1", "a", tasks(1)));
        Order.Start start = fixture.starts().getFirst();
        fixture.scheduler.cancelJob(new JobId("a1"));
        fixture.add(job(fixture, "a2", "a", tasks(1)));
        assertEquals(fixture.starts(), List.of());
        fixture.report(
                start.worker().value(), List.of(), List.of(SchedulerFixture.ended(1, start, EndKind.INTERRUPTED)));
        assertEquals(fixture.starts().size(), 1);
    }

    /** Guards against a new owner that starts tasks beyond the cap because it does not count the runs of earlier ones. */
    @Test
    public void nextOwnerCountsRunsOfEarlierOnes() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2");
        configure(fixture, account("a", 1, cores(2)));
        fixture.add(job(fixture, "a1", "a", tasks(4)));
        Plan plan = fixture.scheduler.plan();
        assertEquals(SchedulerFixture.starts(plan).size(), 2);
        Map<JobId, JobProgress> stored = new HashMap<>();
        plan.changes().forEach(change -> stored.put(change.id(), change));
        SchedulerFixture next = fixture.nextOwner(stored);
        configure(next, account("a", 1, cores(2)));
        assertEquals(next.scheduler.accountUsage().get("a").milliCores(), 2000);
        for (WorkerRegistration worker : next.workers) {
            List<WorkerReport.Running> runs = SchedulerFixture.starts(plan).stream()
                    .filter(start -> start.worker().equals(worker.id()))
                    .map(start -> SchedulerFixture.running(start, 10, 0))
                    .toList();
            next.report(worker.id().value(), runs, List.of());
            assertEquals(next.starts(), List.of());
        }
    }

    /** Guards against a job that waits without an end because one of its tasks is larger than the cap. */
    @Test
    public void taskLargerThanCapRunsAlone() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        configure(fixture, account("a", 1, cores(1)));
        fixture.add(job(fixture, "a1", "a", SchedulerFixture.step(2, 3000, Step.Behaviour.PLAIN)));
        assertEquals(fixture.starts().size(), 1);
    }

    /** Guards against a burst of one account, submitted earlier, that delays the tasks of another one. */
    @Test
    public void accountsShareFullServiceByWeight() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2");
        configure(fixture, account("a", 1, NO_CAP), account("b", 3, NO_CAP));
        for (int i = 0; i < 20; i++) {
            fixture.add(job(fixture, "a" + i, "a", tasks(4)));
        }
        fixture.time.advance(Duration.ofMillis(10));
        for (int i = 0; i < 20; i++) {
            fixture.add(job(fixture, "b" + i, "b", tasks(4)));
        }
        // The share of a is 4 cores of 16, and a quarter more before others come first.
        assertEquals(startsByAccount(fixture.starts()), Map.of('a', 5L, 'b', 11L));
    }

    /** Guards against room that stays unused because the account with waiting tasks is beyond its share. */
    @Test
    public void accountBeyondItsShareUsesFreeRoom() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2");
        configure(fixture, account("a", 1, NO_CAP), account("b", 3, NO_CAP));
        fixture.add(job(fixture, "b1", "b", tasks(2)));
        List<JobSpec> burst = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            burst.add(job(fixture, "a" + i, "a", tasks(4)));
        }
        burst.forEach(fixture::add);
        assertEquals(startsByAccount(fixture.starts()), Map.of('a', 14L, 'b', 2L));
    }

    /** Guards against a change of the order of jobs on deployments without accounts. */
    @Test
    public void jobsWithoutAccountAreNotLimited() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        fixture.add(job(fixture, "a1", "gone", tasks(8)));
        assertEquals(fixture.starts().size(), 8);
        assertEquals(fixture.scheduler.accountUsage(), Map.of());
    }
}
