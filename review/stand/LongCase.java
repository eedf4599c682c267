package review.stand;

import java.util.ArrayList;
import java.util.List;

/** Two of forty submissions have tasks that take some minutes. */
final class LongCase {
    private static final int WORKERS = 4;
    private static final int WORKER_CPU = 8000;
    private static final int TASK_CPU = 1000;
    private static final int LONG_MS = 240_000;
    /** Without the disruption the same submissions take this long. */
    private static final int SHORT_MS = 9_000;
    private static final int SOUND = 38;
    private static final int GAP_MS = 300;
    private static final int FINISH_MS = 14_000;
    private static final int WATCH_MS = 40_000;
    private static final int IDLE_MS = 3000;

    private LongCase() {}

    static int play(Log log) throws Exception {
        try (Stage stage = new Stage(log, 2, WORKERS, WORKER_CPU)) {
            List<String> accepted = new ArrayList<>();
            for (int i = 0; i < SOUND + 2; i++) {
                boolean large = i == 5 || i == 6;
                int ms = !large ? 600 : Case.TROUBLE ? LONG_MS : SHORT_MS;
                String path = (large ? "/reconcile/" : "/check/") + stage.newId();
                String body = Stage.job("work " + ms, 2, TASK_CPU, "").replace("\"estimate_ms\":700", "\"estimate_ms\":" + ms);
                if (Stage.status(stage.send(i, "POST", path, body, 3000)) == 200) {
                    accepted.add(path);
                }
                Worker.sleep(GAP_MS);
            }
            log.add("the traffic ends; " + accepted.size() + " submissions were accepted");
            Worker.sleep(FINISH_MS);
            long begin = log.now();
            Worker.sleep(WATCH_MS);
            long end = log.now();
            for (String path : accepted) {
                String state = stage.state(0, path);
                log.add("state of " + path + " is " + state);
                if (!state.equals("completed") && !state.equals("failed")) {
                    checkIdle(stage, path, begin, end);
                }
            }
            return stage.broken.isEmpty() ? 0 : 1;
        }
    }

    /** Looks for a span in which the submission has nothing running; the workers have room, as few tasks are left. */
    private static void checkIdle(Stage stage, String path, long begin, long end) {
        List<Stage.Seen> runs = stage.runsOf(path.substring(path.lastIndexOf('/') + 1));
        long idleSince = begin;
        for (long at = begin; at <= end; at += 10) {
            long now = at;
            if (runs.stream().anyMatch(run -> run.startedAt <= now && (run.endedAt < 0 || run.endedAt > now))) {
                idleSince = now;
            }
            if (now - idleSince > IDLE_MS && 2 * stage.mostRunning(idleSince, now) < WORKERS * WORKER_CPU / TASK_CPU) {
                stage.breakRule("LOST: " + path + " is not done and had nothing running from " + idleSince + " to " + now
                        + ", while at most " + stage.mostRunning(idleSince, now) + " tasks ran on workers with room for "
                        + WORKERS * WORKER_CPU / TASK_CPU + "; it has had " + runs.size() + " runs");
                return;
            }
        }
    }
}
