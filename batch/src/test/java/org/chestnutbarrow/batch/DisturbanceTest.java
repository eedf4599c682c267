package org.chestnutbarrow.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** Guards what is learned from reported tails, and what follows from it for filling tasks. */
public class DisturbanceTest {
    private static final Step.Behaviour SERVING = new Step.Behaviour("s", false, true, false, 50, 0);
    private static final double IDLE_TAIL_MS = 10;

    private final Random random = new Random(7);

    private static Step.Behaviour filling(String image) {
        return new Step.Behaviour(image, true, false, true, 0, 0);
    }

    /** The tail of a serving task with a swinging load; {@code pressure} is what fills beside it, as a part of it. */
    private int tail(double seconds, double pressure) {
        double load = 0.45 * (1 + 0.5 * Math.sin(2 * Math.PI * seconds / 14));
        double free = Math.max(0.02, 1 - load - pressure);
        return (int) (IDLE_TAIL_MS / free * (1 + 0.05 * random.nextGaussian()));
    }

    /** Plays alternating filling tasks of two images beside two serving tasks, of which only one image disturbs. */
    private static CellFixture learn(DisturbanceTest test, double seconds) {
        CellFixture f = new CellFixture().with("w1");
        f.add(f.job("serving", CellFixture.step(2, 1500, SERVING)));
        List<Order.Start> serving = f.starts();
        int job = 0;
        Order.Start filler = null;
        String image = "calm";
        for (double t = 0; t < seconds; t += 0.5) {
            if (filler == null && (int) t % 4 < 2) {
                image = image.equals("calm") ? "harsh" : "calm";
                f.add(f.job("f" + job++, CellFixture.step(1, 600, filling(image))));
                filler = f.starts().stream().findFirst().orElse(null);
            }
            double use = filler == null ? 0 : 600.0 / 8000;
            double pressure = (image.equals("harsh") ? 1.4 : 0.14) * use;
            List<WorkerReport.Running> running = new ArrayList<>();
            for (int i = 0; i < serving.size(); i++) {
                running.add(CellFixture.running(serving.get(i), 100, test.tail(t + 5 * i, pressure)));
            }
            List<WorkerReport.Ended> ended = new ArrayList<>();
            if (filler != null && (int) t % 4 >= 2) {
                ended.add(CellFixture.ended(job, filler, WorkerReport.EndKind.DONE));
                filler = null;
            } else if (filler != null) {
                running.add(CellFixture.running(filler, 10 + (int) t % 50, 600));
            }
            f.time.advance(Duration.ofMillis(500));
            f.report("w1", running, ended);
            f.cell.plan();
        }
        return f;
    }

    private static double weight(List<Sensitivity> learned, String image) {
        return learned.stream()
                .filter(one -> one.filling().equals(image))
                .findFirst()
                .orElseThrow()
                .weight();
    }

    /** Guards against images that disturb being taken for ones that do not, and the reverse. */
    @Test
    public void imagesThatDisturbAreTold() {
        List<Sensitivity> learned = learn(this, 60).cell.learned();
        assertTrue(weight(learned, "harsh") > 4, learned.toString());
        assertTrue(weight(learned, "calm") < 2.5, learned.toString());
    }

    /** Guards against an owner that learns anew what an earlier one knew. */
    @Test
    public void theNextOwnerGoesOnFromWhatWasLearned() {
        List<Sensitivity> learned = learn(this, 60).cell.learned();
        CellFixture next = new CellFixture();
        next.cell.restore(learned);
        assertEquals(weight(next.cell.learned(), "harsh"), weight(learned, "harsh"), 1e-9);
    }

    /** Guards against filling tasks that go on beside a serving task that has long missed its target. */
    @Test
    public void aLongMissedTargetStopsWhatFills() {
        CellFixture f = new CellFixture().with("w1");
        f.add(f.job("serving", CellFixture.step(1, 1500, SERVING)));
        Order.Start server = f.starts().getFirst();
        f.add(f.job("filling", CellFixture.step(1, 600, filling("f"))));
        Order.Start filler = f.starts().getFirst();
        List<Order> orders = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            f.time.advance(Duration.ofMillis(500));
            f.report(
                    "w1",
                    List.of(CellFixture.running(server, 100, 60), CellFixture.running(filler, 10 + i, 0)),
                    List.of());
            orders.addAll(f.cell.plan().orders());
        }
        assertTrue(
                orders.stream().anyMatch(o -> o instanceof Order.Pace pace && pace.percent() == 0), orders.toString());
    }
}
