package org.chestnutbarrow.bench;

import java.util.Arrays;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Runs an experiment; the first argument names it. Stateless. */
public final class Bench {
    private static final int INVALID = 2;

    private Bench() {}

    /** Exits with 2 if there is no such experiment. */
    public static void main(String[] args) throws Exception {
        Logger.getLogger("").setLevel(Level.OFF);
        String name = args.length == 0 ? "" : args[0];
        String[] rest = Arrays.copyOfRange(args, Math.min(1, args.length), args.length);
        int code = switch (name) {
            case "slopes" -> SlopesExperiment.main(rest, System.out);
            default -> {
                System.err.println("usage: ./run bench slopes [OPTIONS]");
                yield INVALID;
            }
        };
        System.exit(code);
    }
}
