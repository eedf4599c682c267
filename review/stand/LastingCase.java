package review.stand;

import java.util.List;

/** A worker is cut off from the system and runs on; a lasting task on it ends meanwhile and must run again. */
final class LastingCase {
    private static final int CUT_MS = 5500;
    private static final int END_AFTER_MS = 1000;
    /** Time after the cut for which everything is calm at last, and in which the task has to be at work. */
    private static final int CALM_MS = 10_000;
    private static final int WATCH_MS = 6000;
    private static final int TRIES = 2;

    private LastingCase() {}

    static int play(Log log) throws Exception {
        try (Stage stage = new Stage(log, 2, 6, 8000)) {
            for (int i = 0; i < TRIES; i++) {
                playOnce(stage, log);
            }
            return stage.broken.isEmpty() ? 0 : 1;
        }
    }

    private static void playOnce(Stage stage, Log log) throws Exception {
        String id = stage.newId();
        if (Stage.status(stage.send(0, "POST", "/watch/" + id, Stage.job("stay", 4, 1000, ",\"long_running\":true"), 3000)) != 200) {
            throw new Case.NotPlayed("the submission was not accepted");
        }
        Worker.sleep(3000);
        List<Stage.Seen> placed = stage.runsOf(id);
        if (placed.size() != 4) {
            throw new Case.NotPlayed("not all tasks run");
        }
        Worker worker = stage.workers.stream()
                .filter(w -> w.id.equals(placed.getFirst().worker))
                .findFirst()
                .orElseThrow();
        if (Case.TROUBLE) {
            worker.cut = true;
            log.add("worker " + worker.id + " is cut off from the system for " + CUT_MS + " ms");
        }
        Worker.sleep(END_AFTER_MS);
        worker.endRuns(id, "done");
        Worker.sleep(CUT_MS - END_AFTER_MS);
        worker.cut = false;
        log.add("worker " + worker.id + " can be reached");
        Worker.sleep(CALM_MS);
        long from = log.now();
        Worker.sleep(WATCH_MS);
        for (int index = 0; index < 4; index++) {
            String task = id + ".0.0." + index;
            boolean atWork = stage.runsOf(task).stream().anyMatch(seen -> seen.endedAt < 0 || seen.endedAt > from);
            if (!atWork) {
                stage.breakRule("LOST: the lasting task " + task + " of a submission that nobody cancelled has nothing running from "
                        + from + " to " + log.now() + ", with room on all workers; the submission is shown as "
                        + stage.state(1, "/watch/" + id));
            }
        }
        stage.send(0, "DELETE", "/watch/" + id, "", 3000);
        Worker.sleep(1000);
    }
}
