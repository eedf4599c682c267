import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client that the operator does not control hands in jobs whose bodies have nearly the largest legal size and are made
 * of short steps; without the trouble, as many jobs of two steps. Rule LOST.
 */
final class LargeJobs implements Play.Case {
    private static final int JOBS = 120;
    private static final int TRAFFIC_MS = 24_000;
    private static final int MAX_TRAFFIC_MS = 40_000;
    private static final int STEPS = 4900;
    /** The first attempt of a client and its retries. */
    private static final int ATTEMPTS = 5;
    private static final int FINISH_MS = 14_000;

    @Override
    public boolean play(Record record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record, 3, 6)) {
            deployment.awaitReady();
            Thread.sleep(2000);
            List<String> accepted = new ArrayList<>();
            long startedAt = System.nanoTime();
            // Calls that get no answer take longer.
            long stopAt = startedAt + MAX_TRAFFIC_MS * 1_000_000L;
            for (int i = 0; i < JOBS && stopAt - System.nanoTime() > 0; i++) {
                sleepUntil(deployment, startedAt + (long) i * TRAFFIC_MS / JOBS * 1_000_000);
                ObjectNode job = Body.object().put("spec", "2200");
                ArrayNode steps = job.putArray("steps");
                for (int step = 0; step < (trouble ? STEPS : 2); step++) {
                    steps.addObject()
                            .put("count", trouble ? 1 : 8)
                            .put("cpu", 500)
                            .put("mem_mb", 64)
                            .put("estimate_ms", 900);
                }
                if (i == 0) {
                    record.add("a body has " + job.toString().length() + " bytes");
                }
                String id = String.format("%016x", 0x5c0e7a21d94b0000L + i);
                if (deployment.submit(i % 3, id, job)) {
                    accepted.add(id);
                }
            }
            record.add("end of the traffic: " + accepted.size() + " jobs accepted of " + JOBS);
            sleepUntil(deployment, System.nanoTime() + FINISH_MS * 1_000_000L);
            AtomicInteger known = new AtomicInteger();
            AtomicInteger unknown = new AtomicInteger();
            List<Thread> clients = new ArrayList<>();
            for (String id : accepted) {
                clients.add(Thread.ofVirtual().start(() -> {
                    int status = 0;
                    for (int attempt = 0; attempt < ATTEMPTS && status != 200 && status != 410; attempt++) {
                        status = deployment.state(attempt % 3, id).status();
                    }
                    (status == 200 ? known : unknown).addAndGet(status == 200 || status == 410 ? 1 : 0);
                }));
            }
            for (Thread client : clients) {
                while (!client.join(Duration.ofMillis(100))) {
                    deployment.restartEnded();
                }
            }
            int unanswered = accepted.size() - known.get() - unknown.get();
            record.add("asked for the accepted jobs " + FINISH_MS + " ms after the end of the traffic: " + known
                    + " are known, " + unknown + " are not, " + unanswered + " got no answer in " + ATTEMPTS
                    + " attempts of 3 s, at all nodes in turn");
            for (NodeProcess node : deployment.nodes) {
                record.add(node.name + " ended by itself " + node.ends + " times; its process "
                        + (node.isAlive() ? "runs" : "has ended"));
            }
            return unknown.get() + unanswered > 0;
        }
    }

    private static void sleepUntil(Deployment deployment, long at) throws Exception {
        do {
            deployment.restartEnded();
            Thread.sleep(Math.clamp((at - System.nanoTime()) / 1_000_000, 0, 100));
        } while (at - System.nanoTime() > 0);
    }
}
