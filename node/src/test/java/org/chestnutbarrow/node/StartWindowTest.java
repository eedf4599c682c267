package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.chestnutbarrow.testkit.ManualTime;
import org.testng.annotations.Test;

/** Tests the bound on starts that are ordered and not yet attempted. */
public class StartWindowTest {
    private static final Duration SHORT_WAIT = Duration.ofMillis(5);
    private static final Duration TOO_LONG = StartWindow.LONG_WAIT.plusMillis(1);

    private final ManualTime time = new ManualTime();

    /** Guards against starts that are held back on an owner that sends them at once, or does so again. */
    @Test
    public void windowIsWideAtFirstAndGrowsBackWithPromptStarts() {
        StartWindow prompt = new StartWindow(time);
        assertEquals(prompt.maxStarts(0), StartWindow.MAX_SIZE);
        time.advance(StartWindow.PERIOD);
        prompt.record(TOO_LONG);
        assertEquals(prompt.maxStarts(0), StartWindow.MAX_SIZE / 2);
        for (int i = 0; i < StartWindow.MAX_SIZE; i++) {
            prompt.record(SHORT_WAIT);
        }
        assertEquals(prompt.maxStarts(0), StartWindow.MAX_SIZE);
    }

    /** Guards against starts that are ordered while those ordered before cannot be sent. */
    @Test
    public void waitingStartsUseTheWindow() {
        StartWindow full = new StartWindow(time);
        assertEquals(full.maxStarts(500), StartWindow.MAX_SIZE - 500);
        assertEquals(full.maxStarts(StartWindow.MAX_SIZE + 1), 0);
    }

    /** Guards against a window that stays wide while starts wait, and against one that closes altogether. */
    @Test
    public void longWaitsHalveTheWindowOnceInEachPeriod() {
        StartWindow slow = new StartWindow(time);
        for (int expected = StartWindow.MAX_SIZE / 2; expected >= StartWindow.MIN_SIZE; expected /= 2) {
            slow.record(TOO_LONG);
            slow.record(TOO_LONG);
            time.advance(StartWindow.PERIOD);
            slow.record(TOO_LONG);
            assertEquals(slow.maxStarts(0), expected);
        }
        time.advance(StartWindow.PERIOD);
        slow.record(TOO_LONG);
        assertEquals(slow.maxStarts(0), StartWindow.MIN_SIZE);
    }

    /** Guards against one slow worker that holds back the starts on all others. */
    @Test
    public void fewLongWaitsHardlyChangeTheWindow() {
        StartWindow busy = new StartWindow(time);
        for (int i = 0; i < 60; i++) {
            busy.record(i % 30 == 0 ? TOO_LONG : SHORT_WAIT);
        }
        time.advance(StartWindow.PERIOD);
        busy.record(SHORT_WAIT);
        assertTrue(busy.maxStarts(0) >= StartWindow.MAX_SIZE * 95 / 100, "window is " + busy.maxStarts(0));
    }

    /** Guards against tasks that wait for the next regular plan although starts could be sent. */
    @Test
    public void boundedPlanIsFollowedByAnotherOnceHalfIsAttempted() {
        StartWindow bounded = new StartWindow(time);
        bounded.planned(4, true);
        assertFalse(bounded.record(SHORT_WAIT));
        assertTrue(bounded.record(SHORT_WAIT));
        assertFalse(bounded.record(SHORT_WAIT));
        bounded.planned(4, false);
        assertFalse(bounded.record(SHORT_WAIT));
        assertFalse(bounded.record(SHORT_WAIT));
    }
}
