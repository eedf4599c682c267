package review.stand;

/** The worker that started a task last crashes and starts again under the id that it had. */
final class RestartCase {
    private static final int CRASHES = 20;
    private static final int DOWN_MS = 1000;

    private RestartCase() {}

    static int play(Log log) throws Exception {
        try (Stage stage = new Stage(log, 2, 8, 8000)) {
            Thread load = Thread.ofVirtual().start(() -> {
                int n = 0;
                while (stage.open() && log.now() < 100_000) {
                    int node = n++;
                    Thread.ofVirtual()
                            .start(() -> stage.send(node, "POST", "/check/" + stage.newId(), Stage.job("work 700", 3, 1000, ""), 3000));
                    Worker.sleep(120);
                }
            });
            Worker.sleep(3000);
            for (int i = 0; i < CRASHES; i++) {
                if (Case.TROUBLE) {
                    Worker worker = stage.lastStarter();
                    worker.crash();
                    Worker.sleep(DOWN_MS);
                    worker.start();
                }
                Worker.sleep(2000);
            }
            stage.checkTwice();
            return stage.broken.isEmpty() ? 0 : 1;
        }
    }
}
