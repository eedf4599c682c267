package review.stand;

import java.util.ArrayList;
import java.util.List;

/** One submission that can never be done comes among sound ones; the others must be done all the same. */
final class HopelessCase {
    private static final int WORKERS = 8;
    private static final int WORKER_CPU = 8000;
    private static final int TASK_CPU = 500;
    private static final int BEFORE = 20;
    private static final int AFTER = 20;
    private static final int GAP_MS = 300;
    private static final int FINISH_MS = 14_000;
    private static final int IDLE_MS = 3000;

    private HopelessCase() {}

    static int play(Log log, String hopeless) throws Exception {
        int perWorker = WORKER_CPU / TASK_CPU;
        try (Stage stage = new Stage(log, 3, WORKERS, WORKER_CPU)) {
            List<String> accepted = new ArrayList<>();
            for (int i = 0; i < BEFORE; i++) {
                submit(stage, i, accepted);
            }
            Worker.sleep(2000);
            if (Case.TROUBLE) {
                stage.send(0, "POST", "/watch/" + stage.newId(), hopeless, 3000);
            }
            for (int i = 0; i < AFTER; i++) {
                submit(stage, i, accepted);
            }
            log.add("the traffic ends; " + accepted.size() + " sound submissions were accepted");
            Worker.sleep(FINISH_MS);
            long begin = log.now();
            int most = 0;
            while (log.now() < begin + IDLE_MS) {
                most = Math.max(most, stage.workers.stream().mapToInt(Worker::runningCount).sum());
                Worker.sleep(5);
            }
            log.add("for " + IDLE_MS + " ms the workers ran " + most + " tasks at most, with room for " + WORKERS * perWorker);
            int open = 0;
            for (int i = 0; i < accepted.size(); i++) {
                String path = "/check/" + accepted.get(i);
                String state = stage.state(i, path);
                if (!state.equals("completed")) {
                    open++;
                    log.add("state of " + path + " is " + state + "; runs seen: " + stage.runsOf(accepted.get(i)).size());
                }
            }
            if (open > 0 && most == 0) {
                stage.breakRule("LOST: " + open + " of " + accepted.size() + " accepted submissions are not done " + FINISH_MS
                        + " ms after the end of the traffic, and nothing runs for " + IDLE_MS + " ms while all workers are idle");
            }
            return stage.broken.isEmpty() ? 0 : 1;
        }
    }

    private static void submit(Stage stage, int node, List<String> accepted) {
        String id = stage.newId();
        if (Stage.status(stage.send(node, "POST", "/check/" + id, Stage.job("work 600", 3, TASK_CPU, ""), 3000)) == 200) {
            accepted.add(id);
        }
        Worker.sleep(GAP_MS);
    }
}
