package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.time.Duration;
import java.util.List;
import org.chestnutbarrow.batch.WorkerReport.EndKind;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.Test;

/** Tests which runs are started again because they are much slower than the other tasks of their step. */
public class SlowRunsTest {
    private static final Duration RUN_TIME = Duration.ofMillis(700);
    private static final int COUNT = 5;

    private long ends;

    /** Starts a job of five tasks, of which all but the last end after the run time; returns the last one. */
    private Order.Start lastOfStep(SchedulerFixture fixture, Step step) {
        ends = 0;
        fixture.add(fixture.job("a", step));
        List<Order.Start> starts = fixture.starts();
        assertEquals(starts.size(), COUNT);
        starts.forEach(start -> fixture.scheduler.confirmStarted(start.task(), start.run()));
        fixture.time.advance(RUN_TIME);
        Order.Start last = starts.getLast();
        for (WorkerRegistration worker : fixture.workers) {
            List<WorkerReport.Ended> ended = starts.stream()
                    .filter(start -> !start.equals(last) && start.worker().equals(worker.id()))
                    .map(start -> SchedulerFixture.ended(++ends, start, EndKind.DONE))
                    .toList();
            report(fixture, worker.id(), last, 15, ended);
        }
        return last;
    }

    private static void report(
            SchedulerFixture fixture, WorkerId worker, Order.Start run, int percent, List<WorkerReport.Ended> ended) {
        boolean runsHere = run.worker().equals(worker)
                && ended.stream().noneMatch(end -> end.task().equals(run.task()));
        fixture.report(
                worker.value(), runsHere ? List.of(SchedulerFixture.running(run, percent, 0)) : List.of(), ended);
    }

    private static Step step(Step.Behaviour behaviour) {
        return SchedulerFixture.step(COUNT, 1000, behaviour);
    }

    private static List<Order.Stop> stopsAfter(SchedulerFixture fixture, Order.Start run, Duration time, int percent) {
        fixture.time.advance(time);
        report(fixture, run.worker(), run, percent, List.of());
        return fixture.stops();
    }

    /** Guards against a job that waits for one run of several times the run time of the others. */
    @Test
    public void slowRunStartsAgainElsewhereOnce() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2");
        Order.Start last = lastOfStep(fixture, step(Step.Behaviour.PLAIN));
        List<Order.Stop> stops = stopsAfter(fixture, last, Duration.ofMillis(400), 22);
        assertEquals(stops.size(), 1);
        assertEquals(stops.getFirst().reason(), "slow");
        fixture.report(
                last.worker().value(), List.of(), List.of(SchedulerFixture.ended(++ends, last, EndKind.INTERRUPTED)));
        Order.Start again = fixture.starts().getFirst();
        assertEquals(again.run(), 2);
        assertNotEquals(again.worker(), last.worker());
        fixture.scheduler.confirmStarted(again.task(), again.run());
        assertEquals(stopsAfter(fixture, again, Duration.ofMillis(1100), 22), List.of());
    }

    /** Guards against work that is thrown away although the run ends soon. */
    @Test
    public void runThatEndsSoonGoesOn() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2");
        Order.Start last = lastOfStep(fixture, step(Step.Behaviour.PLAIN));
        assertEquals(stopsAfter(fixture, last, Duration.ofMillis(400), 60), List.of());
    }

    /** Guards against a task that waits after its stop because all room is taken. */
    @Test
    public void slowRunGoesOnWithoutRoom() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1");
        Order.Start last = lastOfStep(fixture, step(Step.Behaviour.PLAIN));
        fixture.add(fixture.job("filling", SchedulerFixture.step(1, 7000, Step.Behaviour.PLAIN)));
        assertEquals(fixture.starts().size(), 1);
        assertEquals(stopsAfter(fixture, last, Duration.ofMillis(400), 22), List.of());
    }

    /** Guards against stops of best-effort tasks, which are slow because others leave them little. */
    @Test
    public void bestEffortRunGoesOn() {
        SchedulerFixture fixture = new SchedulerFixture().withWorkers("w1", "w2");
        Order.Start last = lastOfStep(fixture, step(new Step.Behaviour("image", false, false, true, 0, 0)));
        assertEquals(stopsAfter(fixture, last, Duration.ofMillis(400), 22), List.of());
    }
}
