package org.chestnutbarrow.soak;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorCompletionService;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.chestnutbarrow.model.TimeSource;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Plays seeds and prints one line for each. Used by one thread; plays that run at once share nothing.
 *
 * <pre>{@code
 * ./run soak --seeds 50 --nodes 4
 * }</pre>
 */
public final class Main {
    private static final int FOUND = 1;
    private static final int USAGE_ERROR = 2;

    @Option(name = "--seeds", metaVar = "N", usage = "number of seeds")
    private int seeds = 1;

    @Option(name = "--first", metaVar = "SEED", usage = "first seed")
    private long first = 1;

    @Option(name = "--nodes", metaVar = "N", usage = "number of nodes, 4 at most")
    private int nodes = 4;

    @Option(name = "--workers", metaVar = "N", usage = "number of workers")
    private int workers = 8;

    @Option(name = "--load-s", metaVar = "SECONDS", usage = "time in which jobs are submitted and faults begin")
    private int loadSeconds = 40;

    @Option(name = "--calm-s", metaVar = "SECONDS", usage = "longest time without faults, until accepted jobs end")
    private int calmSeconds = 45;

    @Option(name = "--parallel", metaVar = "N", usage = "number of seeds that are played at once")
    private int parallel = 1;

    @Option(name = "--faults", metaVar = "FAMILIES", usage = "store, nodes, workers and order, separated by commas")
    private String faults = "store,nodes,workers,order";

    @Option(name = "--crowds", usage = "adds misbehaving clients")
    private boolean crowds;

    @Option(name = "--no-repeats", usage = "clients neither repeat submissions nor cancel jobs")
    private boolean noRepeats;

    @Option(name = "--images", usage = "adds jobs that serve, and jobs that fill the rest, each with another image")
    private boolean images;

    private Main() {}

    /** Plays the seeds; exits with 1 if there are findings. */
    public static void main(String[] args) throws InterruptedException {
        Main main = new Main();
        CmdLineParser parser = new CmdLineParser(main);
        List<PlaySettings> plays;
        try {
            parser.parseArgument(args);
            plays = main.plays();
        } catch (CmdLineException | IllegalArgumentException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(USAGE_ERROR);
            return;
        }
        // The nodes would outlive this process if it is stopped during a play.
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> ProcessHandle.current().descendants().forEach(ProcessHandle::destroyForcibly)));
        System.exit(main.run(plays) ? 0 : FOUND);
    }

    private List<PlaySettings> plays() {
        Set<Fault.Family> families = EnumSet.noneOf(Fault.Family.class);
        for (String name : faults.split(",")) {
            families.add(Fault.Family.valueOf(name.toUpperCase(Locale.ROOT)));
        }
        List<PlaySettings> plays = new ArrayList<>();
        for (int i = 0; i < seeds; i++) {
            plays.add(new PlaySettings(
                    first + i,
                    nodes,
                    workers,
                    Duration.ofSeconds(loadSeconds),
                    Duration.ofSeconds(calmSeconds),
                    families,
                    crowds,
                    !noRepeats,
                    images,
                    Path.of("").toAbsolutePath()));
        }
        return plays;
    }

    /** Returns whether no play has a finding. */
    private boolean run(List<PlaySettings> plays) throws InterruptedException {
        boolean clean = true;
        int failed = 0;
        try (ExecutorService threads = Executors.newFixedThreadPool(parallel)) {
            ExecutorCompletionService<PlayResult> results = new ExecutorCompletionService<>(threads);
            for (PlaySettings play : plays) {
                results.submit(() -> Play.run(play, TimeSource.SYSTEM));
            }
            for (int i = 0; i < plays.size(); i++) {
                try {
                    PlayResult result = results.take().get();
                    System.out.println(result.report());
                    failed += result.failed() ? 1 : 0;
                    clean &= !result.failed();
                } catch (ExecutionException e) {
                    clean = false;
                    System.out.println("a play could not be carried out: " + e.getCause());
                }
            }
        }
        System.out.println("seeds=" + plays.size() + " failed=" + failed);
        return clean;
    }
}
