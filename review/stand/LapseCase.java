package review.stand;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The store is down and entries run out meanwhile, and the process that owns the workers is killed; clients cancel lasting
 * submissions in the first second after the store is back.
 */
final class LapseCase {
    private static final int DOWN_MS = 3200;
    private static final int KILL_AFTER_MS = 2500;
    private static final int CANCEL_MS = 3000;
    private static final int STOP_TIMEOUT_MS = 400;
    private static final int CONTACT_MS = 3000;
    private static final int WATCH_MS = 5_000;
    private static final int TRIES = 3;
    private static final int CANCEL_GAP_MS = 150;
    private static final int SUBMISSIONS = 6;

    private LapseCase() {}

    static int play(Log log) throws Exception {
        try (Stage stage = new Stage(log, 3, 6, 8000)) {
            for (int i = 0; i < TRIES && stage.broken.isEmpty(); i++) {
                playOnce(stage, log);
            }
            return stage.broken.isEmpty() ? 0 : 1;
        }
    }

    private static void playOnce(Stage stage, Log log) throws Exception {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < SUBMISSIONS; i++) {
            String id = stage.newId();
            if (Stage.status(stage.send(i, "POST", "/watch/" + id, Stage.job("stay", 3, 1000, ",\"long_running\":true"), 3000)) != 200) {
                throw new Case.NotPlayed("a submission was not accepted");
            }
            ids.add(id);
        }
        Worker.sleep(1500);
        if (Case.TROUBLE) {
            stage.store.down = true;
            log.add("the store is down for " + DOWN_MS + " ms");
        }
        long backAfter = log.now() + DOWN_MS;
        Worker.sleep(KILL_AFTER_MS);
        if (Case.TROUBLE) {
            stage.restartOwner();
        }
        Worker.sleep(backAfter - log.now());
        stage.store.down = false;
        long backAt = log.now();
        log.add("the store is back");
        Map<String, Long> acknowledged = new HashMap<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < SUBMISSIONS; i++) {
            Worker.sleep(CANCEL_GAP_MS);
            String id = ids.get(i);
            int first = i;
            clients.add(Thread.ofVirtual().start(() -> cancel(stage, id, first, acknowledged)));
        }
        for (Thread client : clients) {
            client.join();
        }
        if (acknowledged.size() < SUBMISSIONS) {
            throw new Case.NotPlayed("a cancelling was not acknowledged");
        }
        Worker.sleep(WATCH_MS);
        long until = log.now();
        for (String id : ids) {
            // From here on nothing that runs is excused: the time to cancel and to stop is over, and all is calm.
            long from = Math.max(acknowledged.get(id) + CANCEL_MS + STOP_TIMEOUT_MS, backAt + CONTACT_MS);
            for (Stage.Seen seen : stage.runsOf(id)) {
                if (seen.endedAt < 0 || seen.endedAt > from) {
                    stage.breakRule("UNASKED: cancelling " + id + " was acknowledged at " + acknowledged.get(id) + "; " + seen.task
                            + " run " + seen.run + " on " + seen.worker + " started at " + seen.startedAt + " and ran on at " + from
                            + (seen.endedAt < 0 ? ", and still runs at " + until : ", until " + seen.endedAt) + "; the state is "
                            + stage.state(0, "/watch/" + id));
                }
            }
        }
    }

    private static void cancel(Stage stage, String id, int node, Map<String, Long> acknowledged) {
        for (int i = node; i < node + 30; i++) {
            int status = Stage.status(stage.send(i, "DELETE", "/watch/" + id, "", 3000));
            if (status == 200 || status == 410) {
                synchronized (acknowledged) {
                    acknowledged.put(id, stage.log.now());
                }
                return;
            }
            Worker.sleep(200);
        }
    }
}
