package review.stand;

import java.util.concurrent.atomic.AtomicBoolean;

/** The store does not answer the write of a submission; the client gives up, cancels, and is told that there is none. */
final class CancelCase {
    private static final int CANCEL_MS = 3000;
    private static final int STOP_TIMEOUT_MS = 400;
    private static final int CONTACT_MS = 3000;
    private static final int LATE_MS = 1500;
    private static final int CLIENT_WAIT_MS = 700;
    private static final int WATCH_MS = 9000;
    private static final int TRIES = 4;

    private CancelCase() {}

    static int play(Log log) throws Exception {
        try (Stage stage = new Stage(log, 2, 4, 8000)) {
            for (int i = 0; i < TRIES; i++) {
                playOnce(stage, log, i);
            }
            return stage.broken.isEmpty() ? 0 : 1;
        }
    }

    private static void playOnce(Stage stage, Log log, int node) throws Exception {
        AtomicBoolean lost = new AtomicBoolean(!Case.TROUBLE);
        stage.store.fate = request -> request.query().get("topic").equals("keyed.jobs") && !lost.getAndSet(true)
                ? new Store.Fate(false, LATE_MS)
                : Store.Fate.ANSWERED;
        String id = stage.newId();
        long sentAt = log.now();
        stage.send(node, "POST", "/watch/" + id, Stage.job("stay", 2, 1000, ",\"long_running\":true"), CLIENT_WAIT_MS);
        long acknowledgedAt = -1;
        while (acknowledgedAt < 0 && log.now() < sentAt + 5000) {
            int status = Stage.status(stage.send(node + 1, "DELETE", "/watch/" + id, "", 3000));
            if (status == 200 || status == 410) {
                acknowledgedAt = log.now();
            }
        }
        if (acknowledgedAt < 0) {
            throw new Case.NotPlayed("the cancelling was not acknowledged");
        }
        // From here on nothing that runs is excused: the time to cancel and to stop is over, and the store is calm.
        long from = Math.max(acknowledgedAt + CANCEL_MS + STOP_TIMEOUT_MS, sentAt + LATE_MS + CONTACT_MS);
        Worker.sleep(acknowledgedAt + WATCH_MS - log.now());
        for (Stage.Seen seen : stage.runsOf(id)) {
            if (seen.endedAt < 0 || seen.endedAt > from) {
                stage.breakRule("UNASKED: cancelling " + id + " was acknowledged at " + acknowledgedAt + "; " + seen.task + " run "
                        + seen.run + " on " + seen.worker + " started at " + seen.startedAt + " and ran on at " + from
                        + (seen.endedAt < 0 ? ", and still runs" : ", until " + seen.endedAt));
            }
        }
        log.add("state of " + id + " is " + stage.state(node, "/watch/" + id));
    }
}
