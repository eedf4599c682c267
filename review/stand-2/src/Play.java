import java.nio.file.Path;

/** Plays one case: {@code Play CASE FOLDER}. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. */
public final class Play {
    /** A case; returns whether the rule was broken. */
    interface Case {
        boolean play(Record record, boolean trouble) throws Exception;
    }

    private Play() {}

    public static void main(String[] args) throws Exception {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        Record record = new Record();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try {
            Case played = (Case) Class.forName(args[0]).getDeclaredConstructor().newInstance();
            status = played.play(record, trouble) ? 1 : 0;
        } catch (Exception | LinkageError e) {
            record.add("the case could not run: " + e);
        }
        record.add(status == 1 ? "BROKEN" : status == 0 ? "held" : "not played");
        record.write(Path.of(args[1], "record.txt"));
        System.exit(status);
    }
}
