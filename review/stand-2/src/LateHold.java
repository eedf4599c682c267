import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A worker restarts under its id, and its next life carries out a call that was sent to the one before. Rule TWICE.
 */
final class LateHold implements Play.Case {
    private static final int WORKERS = 8;
    private static final int DOWN_MS = 300;
    private static final int SILENT_MS = 1000;
    private static final int DELAY_MS = 2000;
    private static final int MAX_DELAY_MS = 10_000;

    @Override
    public boolean play(Record record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record, 3, WORKERS)) {
            deployment.awaitReady();
            Thread.sleep(2000);
            Thread clients = Thread.ofVirtual().start(() -> submitJobs(deployment));
            Thread.sleep(4000);
            Worker worker = deployment.workers.stream()
                    .filter(w -> !w.runs().isEmpty())
                    .findFirst()
                    .orElseThrow(() -> new IllegalStateException("no worker has work"));
            if (trouble) {
                worker.delayNextHold();
                long delayedAt = System.nanoTime();
                worker.crash();
                Thread.sleep(DOWN_MS);
                worker.startAgain();
                while (worker.runs().isEmpty()) {
                    if (System.nanoTime() - delayedAt > MAX_DELAY_MS * 1_000_000L) {
                        throw new IllegalStateException(worker.id + " gets no work");
                    }
                    Thread.sleep(10);
                }
                Thread.sleep(100);
                worker.setUnreachable(true);
                long delayedMs = (System.nanoTime() - delayedAt) / 1_000_000;
                Thread.sleep(Math.max(SILENT_MS, DELAY_MS - delayedMs));
                worker.carryOutDelayedHold();
                worker.setUnreachable(false);
            }
            Map<String, Integer> done = new HashMap<>();
            Map<String, String> again = new TreeMap<>();
            long until = System.nanoTime() + 10_000_000_000L;
            while (until - System.nanoTime() > 0) {
                done.putAll(worker.forgotten());
                for (Worker each : deployment.workers) {
                    for (String run : each.runs()) {
                        List<String> words = List.of(run.split(" "));
                        Integer ended = done.get(words.get(0));
                        if (ended != null
                                && Integer.parseInt(words.get(2)) > ended
                                && again.put(words.get(0), run) == null) {
                            record.add("TWICE: " + run + " was started on " + each.id + " after run " + ended
                                    + " had ended done on " + worker.id + " and that end was acknowledged");
                        }
                    }
                }
                Thread.sleep(10);
            }
            clients.interrupt();
            clients.join();
            record.add("tasks that were started again after an acknowledged end: " + again.size());
            return !again.isEmpty();
        }
    }

    private static void submitJobs(Deployment deployment) {
        try {
            for (int i = 0; true; i++) {
                deployment.submit(i % 3, String.format("%016x", 0x5c0e7a21d94b5000L + i), "600", 16, 1000, 600);
                Thread.sleep(150);
            }
        } catch (InterruptedException e) {
            // The case is over.
        }
    }
}
