import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Jobs of many images fill the room beside jobs that serve; without the trouble, as many jobs of four images. Other jobs
 * are cancelled meanwhile. Rule UNASKED.
 */
final class ManyImages implements Play.Case {
    private static final int SERVING = 16;
    private static final int FILLING = 170;
    private static final int FILL_INTERVAL_MS = 300;
    private static final int CANCELLED = 40;
    private static final int FIRST_CANCEL_MS = 25_000;
    private static final int CANCEL_INTERVAL_MS = 600;
    private static final int CANCEL_MS = 3000;
    private static final int STOP_TIMEOUT_MS = 400;

    @Override
    public boolean play(Record record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record, 3, 6)) {
            deployment.awaitReady();
            Thread.sleep(2000);
            for (int i = 0; i < SERVING; i++) {
                submit(deployment, i, id(1, i), image("serving", i), 6, 800, true);
            }
            List<String> toCancel = new ArrayList<>();
            for (int i = 0; i < CANCELLED; i++) {
                if (deployment.submit(i % 3, id(3, i), "90000", 1, 250, 90000)) {
                    toCancel.add(id(3, i));
                }
            }
            Thread.sleep(2000);
            long startedAt = System.nanoTime();
            Thread fills = Thread.ofVirtual().start(() -> {
                for (int i = 0; i < FILLING; i++) {
                    sleepUntil(startedAt + i * FILL_INTERVAL_MS * 1_000_000L);
                    submit(deployment, i, id(2, i), image("filling", trouble ? i : i % 4), 6, 200, false);
                    if (i % 10 == 9) {
                        byte[] learned = deployment.store.newest("keyed.progress", "learned/");
                        record.add("the record learned/ of keyed.progress has " + (learned == null ? 0 : learned.length)
                                + " bytes");
                    }
                }
            });
            Map<String, Long> cancelledAt = new ConcurrentHashMap<>();
            Thread cancels = Thread.ofVirtual().start(() -> {
                for (int i = 0; i < toCancel.size(); i++) {
                    sleepUntil(startedAt + (FIRST_CANCEL_MS + i * CANCEL_INTERVAL_MS) * 1_000_000L);
                    String job = toCancel.get(i);
                    int status = deployment.cancel(i % 3, job);
                    record.add("DELETE " + job + " is answered " + status);
                    if (status == 200) {
                        cancelledAt.put(job, System.nanoTime());
                    }
                }
            });
            Map<String, Long> tooLong = new TreeMap<>();
            while (fills.isAlive() || cancels.isAlive()) {
                watch(deployment, cancelledAt, tooLong);
                Thread.sleep(50);
            }
            long end = System.nanoTime() + 10_000_000_000L;
            while (end - System.nanoTime() > 0) {
                watch(deployment, cancelledAt, tooLong);
                Thread.sleep(50);
            }
            tooLong.forEach((job, ms) -> record.add("UNASKED: " + job + " still ran " + ms
                    + " ms after its cancelling was acknowledged; allowed are " + (CANCEL_MS + STOP_TIMEOUT_MS)));
            record.add(cancelledAt.size() + " cancels were acknowledged, " + tooLong.size() + " jobs ran on too long");
            record.add("appends that the store refused for a record of over " + Store.RECORD_BYTES + " bytes: "
                    + deployment.store.refusedRecords.get());
            return !tooLong.isEmpty();
        }
    }

    /** Notes how long after the confirmation of their cancelling jobs are still at work, beyond what is allowed. */
    private static void watch(Deployment deployment, Map<String, Long> cancelledAt, Map<String, Long> tooLong) {
        for (Worker worker : deployment.workers) {
            for (String run : worker.runs()) {
                String job = run.substring(0, run.indexOf('.'));
                Long at = cancelledAt.get(job);
                long ms = at == null ? 0 : (System.nanoTime() - at) / 1_000_000;
                if (ms > CANCEL_MS + STOP_TIMEOUT_MS) {
                    tooLong.put(job, ms);
                }
            }
        }
    }

    private static boolean submit(
            Deployment deployment, int number, String id, String image, int count, int cpu, boolean serves) {
        ObjectNode job = Body.object().put("spec", serves ? "300:lasts:10" : "2000:done:400");
        ObjectNode step = job.putArray("steps").addObject();
        step.put("count", count).put("anti_affinity", 1).put("cpu", cpu).put("mem_mb", 256).put("image", image);
        if (serves) {
            step.put("estimate_ms", 1000).put("long_running", true).put("target_ms", 50);
        } else {
            step.put("estimate_ms", 2000).put("fills", true);
        }
        return deployment.submit(number % 3, id, job);
    }

    private static String id(int kind, int number) {
        return String.format(Locale.ROOT, "%016x", 0x5c0e7a21d94b0000L + (kind << 12) + number);
    }

    /** Returns the name of an image as registries give it, with its digest. */
    private static String image(String kind, int number) {
        return String.format(Locale.ROOT, "registry.example/desk/%s-%02d@sha256:%064x", kind, number, number + 1);
    }

    private static void sleepUntil(long at) {
        try {
            Thread.sleep(Math.max(0, (at - System.nanoTime()) / 1_000_000));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
