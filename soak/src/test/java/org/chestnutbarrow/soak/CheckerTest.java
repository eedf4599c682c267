package org.chestnutbarrow.soak;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.chestnutbarrow.soak.Observation.EndKind;
import org.chestnutbarrow.soak.Observation.Incarnation;
import org.chestnutbarrow.soak.Observation.JobState;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The rules on histories made by hand. */
public class CheckerTest {
    private static final TaskKey TASK = new TaskKey("j", 0, 0);
    private static final Incarnation W1 = new Incarnation("w1", 100);
    private static final Incarnation W1_LATER = new Incarnation("w1", 200);
    private static final Incarnation W2 = new Incarnation("w2", 100);

    private List<Observation> history;

    @BeforeMethod
    public void clear() {
        history = new ArrayList<>();
    }

    private static Duration ms(int ms) {
        return Duration.ofMillis(ms);
    }

    private void started(int at, Incarnation on, int run) {
        history.add(new Observation.Started(ms(at), on, TASK, run));
    }

    private void ended(int at, Incarnation on, int number, int run, EndKind how) {
        history.add(new Observation.Ended(ms(at), on, number, TASK, run, how));
    }

    private void acknowledged(int at, Incarnation on, int upTo) {
        history.add(new Observation.Acknowledged(ms(at), on, upTo));
    }

    private void shown(int sentAt, int at, String node, JobState state) {
        history.add(new Observation.Shown(ms(at), ms(sentAt), "j", node, state));
    }

    private void assertFindings(Finding.Rule... expected) {
        history.sort(Comparator.comparing(Observation::at));
        assertEquals(Checker.check(history).stream().map(Finding::rule).toList(), List.of(expected));
    }

    @Test
    public void acceptsRunsOneAfterTheOther() {
        started(0, W1, 1);
        ended(10, W1, 1, 1, EndKind.FAILED);
        acknowledged(15, W1, 1);
        started(20, W2, 2);
        ended(30, W2, 1, 2, EndKind.DONE);
        acknowledged(35, W2, 1);
        shown(40, 41, "n0", JobState.COMPLETED);
        assertFindings();
    }

    @Test
    public void findsRunsAtOnce() {
        started(0, W1, 1);
        started(10, W2, 2);
        ended(20, W1, 1, 1, EndKind.STOPPED);
        assertFindings(Finding.Rule.R1);
    }

    @Test
    public void acceptsStartAfterWorkerWentDown() {
        started(0, W1, 1);
        history.add(new Observation.WentDown(ms(5), W1));
        started(10, W1_LATER, 2);
        assertFindings();
    }

    @Test
    public void findsStartAfterAcknowledgedEnd() {
        started(0, W1, 1);
        ended(10, W1, 7, 1, EndKind.DONE);
        acknowledged(15, W1, 7);
        started(20, W1, 2);
        assertFindings(Finding.Rule.R2);
    }

    @Test
    public void findsStartBeforeAcknowledgementOfEnd() {
        started(0, W1, 1);
        ended(10, W1, 7, 1, EndKind.DONE);
        started(20, W2, 2);
        ended(30, W2, 1, 2, EndKind.DONE);
        acknowledged(40, W1, 9);
        assertFindings(Finding.Rule.R2);
    }

    @Test
    public void acceptsStartAfterEndThatNobodyNoted() {
        started(0, W1, 1);
        ended(10, W1, 7, 1, EndKind.DONE);
        acknowledged(12, W1, 6);
        acknowledged(13, W1_LATER, 7);
        history.add(new Observation.WentDown(ms(15), W1));
        started(20, W2, 2);
        assertFindings();
    }

    @Test
    public void acceptsStartAfterEndWhoseLeaseExpiredBeforeItWasNoted() {
        started(0, W1, 1);
        ended(10, W1, 7, 1, EndKind.DONE);
        history.add(new Observation.LeaseExpired(ms(15), W1));
        started(20, W2, 2);
        acknowledged(30, W1, 7);
        assertFindings();
    }

    @Test
    public void findsFinalStateThatChanges() {
        shown(0, 1, "n0", JobState.COMPLETED);
        shown(5, 6, "n1", JobState.CANCELLED);
        assertFindings(Finding.Rule.R3);
    }

    @Test
    public void findsCompletedJobShownAsRunning() {
        shown(0, 1, "n0", JobState.COMPLETED);
        shown(5, 6, "n0", JobState.RUNNING);
        shown(7, 8, "n1", JobState.COMPLETED);
        shown(3000, 3001, "n1", JobState.QUEUED);
        assertFindings(Finding.Rule.R3, Finding.Rule.R3);
    }

    @Test
    public void findsCompletedJobThatIsUnknownSoon() {
        shown(0, 1, "n0", JobState.COMPLETED);
        shown(5000, 5001, "n1", JobState.UNKNOWN);
        shown(110_000, 110_001, "n1", JobState.UNKNOWN);
        assertFindings(Finding.Rule.R3);
    }

    @Test
    public void countsEarlierStatesOfOtherNodesAsStale() {
        shown(0, 1, "n0", JobState.COMPLETED);
        shown(500, 501, "n1", JobState.RUNNING);
        assertFindings();
        assertEquals(ShownStates.staleAnswers(history), 1);
    }

    @Test
    public void acceptsAnswersThatOvertakeEachOther() {
        shown(0, 30, "n0", JobState.RUNNING);
        shown(5, 10, "n0", JobState.COMPLETED);
        assertFindings();
    }

    @Test
    public void findsStartOfTaskOfCompletedJob() {
        started(0, W1, 1);
        ended(10, W1, 1, 1, EndKind.DONE);
        shown(20, 21, "n0", JobState.COMPLETED);
        started(30, W2, 2);
        assertFindings(Finding.Rule.R3);
    }
}
