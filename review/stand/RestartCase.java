package review.stand;

/** Workers crash and start again under the id that they had. */
final class RestartCase {
    private static final int DOWN_MS = 1000;

    private RestartCase() {}

    static int play(Log log) throws Exception {
        try (Stage stage = new Stage(log, 2, 8, 8000)) {
            Thread load = Thread.ofVirtual().start(() -> {
                int n = 0;
                while (stage.open() && log.now() < 60_000) {
                    int node = n++;
                    Thread.ofVirtual()
                            .start(() -> stage.send(node, "POST", "/check/" + stage.newId(), Stage.job("work 700", 3, 1000, ""), 3000));
                    Worker.sleep(120);
                }
            });
            Worker.sleep(3000);
            for (int i = 0; i < 10; i++) {
                if (Case.TROUBLE) {
                    Worker worker = stage.workers.get(i % stage.workers.size());
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
