package org.chestnutbarrow.cli;

import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;

/** Entry point of the command-line client {@code chestnutbarrow}. Stateless. */
public final class Main {
    private static final String DAEMONS_ENV = "CHESTNUTBARROW_DAEMONS";
    private static final String DEFAULT_DAEMON = "127.0.0.1:8080";
    private static final int USAGE_WIDTH = 100;

    private static final String COMMAND_HELP = """

            Commands and examples:
              check FILE         check a declaration file            check examples/hivatal/declarations.jsonc
              diff FILE          show what apply would change        diff examples/hivatal/declarations.jsonc
              apply FILE         apply a declaration file            apply examples/hivatal/declarations.jsonc
              config check FILE  check a configuration of nodes      config check new.json --against old.json
              zone out|in NAME   take a zone out of service or in    zone out eger
              status             zones, classes, backlog, daemons    --output json status
              submit FILE        submit a job                        submit job.json
              jobs               jobs that have not ended            jobs
              explain ID         decisions on a request or job       explain reconcile-1
              cancel JOB...      cancel jobs                         cancel reconcile-1 reconcile-2

            Exit codes: 0 done, 1 not applied or findings, 2 invalid input, 3 accepted but not yet in force everywhere,
            4 unknown, 5 no daemon reached""";

    private Main() {}

    /** Runs one command and exits with its exit code. */
    public static void main(String[] args) {
        Logger.getLogger("").setLevel(Level.OFF);
        System.exit(run(args, System.out, System.err).code());
    }

    /** Runs one command and returns its exit code. */
    static ExitCode run(String[] args, PrintStream out, PrintStream err) {
        Options options = new Options();
        CmdLineParser parser = new CmdLineParser(
                options, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH).withShowDefaults(false));
        try {
            parser.parseArgument(args);
            if (options.help) {
                printHelp(parser, out);
                return ExitCode.DONE;
            }
            Duration timeout = Duration.ofSeconds(Math.max(1, options.timeoutSeconds));
            try (DaemonClient client = new DaemonClient(daemonAddresses(options), timeout)) {
                return new CommandRunner(client, options, out).run(options.command);
            }
        } catch (CmdLineException e) {
            err.println(e.getMessage());
            printHelp(parser, err);
            return ExitCode.INVALID;
        } catch (InvalidInputException e) {
            err.println(e.getMessage());
            return ExitCode.INVALID;
        } catch (NotRunException e) {
            err.println("not applied: " + e.getMessage());
            return ExitCode.UNREACHABLE;
        } catch (OutcomeUnknownException e) {
            err.println("unknown whether it was applied: " + e.getMessage());
            return ExitCode.UNKNOWN;
        }
    }

    private static void printHelp(CmdLineParser parser, PrintStream stream) {
        stream.println("usage: chestnutbarrow [OPTIONS] COMMAND [ARGUMENTS]");
        parser.printUsage(stream);
        stream.println(COMMAND_HELP);
    }

    private static List<Address> daemonAddresses(Options options) throws InvalidInputException {
        String configured = options.daemons != null ? options.daemons : System.getenv(DAEMONS_ENV);
        String text = configured == null || configured.isBlank() ? DEFAULT_DAEMON : configured;
        List<Address> addresses = new ArrayList<>();
        for (String part : text.split(",")) {
            try {
                addresses.add(Address.parse(part.strip()));
            } catch (IllegalArgumentException e) {
                throw new InvalidInputException(e.getMessage(), "use --daemon IP:PORT", e);
            }
        }
        return addresses;
    }
}
