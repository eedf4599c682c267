package review.stand;

import java.nio.file.Path;

/** Runs a case: Case NUMBER RECORD. */
public final class Case {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final int BROKEN = 10;
    private static final int MAX_MS = 115_000;

    private Case() {}

    interface Scenario {
        void play(Log log) throws Exception;
    }

    /** Thrown when the case could not be played as planned. */
    static final class NotPlayed extends Exception {
        NotPlayed(String message) {
            super(message);
        }
    }

    public static void main(String[] args) throws Exception {
        Thread.ofPlatform().daemon().start(() -> {
            Worker.sleep(MAX_MS);
            System.exit(2);
        });
        int result = 2;
        try (Log log = new Log(Path.of(args[1]))) {
            log.add("case " + args[0] + (TROUBLE ? "" : " without the disruption"));
            try {
                result = play(args[0], log);
            } catch (Exception e) {
                log.add("could not be played: " + e);
            }
            log.add(result == 1 ? "result: the rule was broken" : result == 0 ? "result: the rule held" : "result: not played");
        }
        // A failure of the JVM itself exits with 1, so another code says that the rule was broken.
        System.exit(result == 1 ? BROKEN : result);
    }

    private static int play(String name, Log log) throws Exception {
        return switch (name) {
            case "restart" -> RestartCase.play(log);
            case "cancel" -> CancelCase.play(log);
            case "lasting" -> LastingCase.play(log);
            case "lapse" -> LapseCase.play(log);
            case "cpu" -> HopelessCase.play(log, Stage.job("stay", 1, 2_000_000_000, ",\"long_running\":true"));
            default -> throw new NotPlayed("no case " + name);
        };
    }
}
