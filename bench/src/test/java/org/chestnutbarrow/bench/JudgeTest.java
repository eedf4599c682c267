package org.chestnutbarrow.bench;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which overlaps of attempts are reported. */
public class JudgeTest {
    private static final String TASK = "job/1";

    /** Guards against reporting an attempt as running that its worker ended in the millisecond of its start. */
    @Test
    public void attemptThatEndsInTheMillisecondOfItsStartHasEnded() {
        List<Observation> seen =
                List.of(start("w-1", 10, "1.1"), end("w-1", 10, "1.1", "CRASHED"), start("w-2", 5000, "1.2"));
        assertEquals(Judge.ranTwiceAtOnce(seen), List.of());
    }

    @DataProvider
    public Object[][] overlaps() {
        return new Object[][] {
            {List.of(start("w-1", 10, "1.1"), start("w-2", 20, "1.2"), end("w-1", 30, "1.1", "FINISHED"))},
            {List.of(start("w-1", 10, "1.1"), start("w-2", 20, "1.2"), end("w-2", 30, "1.2", "FINISHED"))},
            {List.of(start("w-1", 10, "1.1"), start("w-1", 20, "1.2"), end("w-1", 21, "1.1", "STOPPED"))},
            {List.of(start("w-1", 10, "1.1"), start("w-2", 10, "1.2"), end("w-1", 11, "1.1", "STOPPED"))},
            {List.of(start("w-1", 10, "1.1"), end("w-2", 15, "1.1", "STOPPED"), start("w-2", 20, "1.2"))},
            {List.of(start("w-1", 10, "1.1"), start("w-1", 20, "1.1"), end("w-1", 30, "1.1", "STOPPED"))},
            // The attempt that started in between has ended, and the first one still runs.
            {
                List.of(
                        start("w-1", 10, "1.1"),
                        start("w-2", 10, "1.2"),
                        end("w-2", 10, "1.2", "STOPPED"),
                        start("w-3", 20, "1.3"),
                        end("w-3", 25, "1.3", "FINISHED"))
            },
        };
    }

    /** Guards against overlooking a task that runs twice at a time. */
    @Test(dataProvider = "overlaps")
    public void overlappingAttemptsAreReported(List<Observation> seen) {
        assertEquals(
                Judge.ranTwiceAtOnce(seen).size(), 1, Judge.ranTwiceAtOnce(seen).toString());
    }

    /** Guards against reporting a start in the millisecond in which the previous attempt ended. */
    @Test
    public void startInTheMillisecondOfAnEndIsNoOverlap() {
        List<Observation> seen =
                List.of(start("w-1", 10, "1.1"), start("w-2", 30, "1.2"), end("w-1", 30, "1.1", "LAPSED"));
        assertEquals(Judge.ranTwiceAtOnce(seen), List.of());
    }

    private static Observation start(String worker, long atMs, String attempt) {
        return new Observation.TaskStarted(worker, atMs, TASK, attempt, "batch", 0);
    }

    private static Observation end(String worker, long atMs, String attempt, String state) {
        return new Observation.TaskEnded(worker, atMs, TASK, attempt, state, 0);
    }
}
