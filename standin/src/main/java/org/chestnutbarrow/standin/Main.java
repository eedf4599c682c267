package org.chestnutbarrow.standin;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.CountDownLatch;
import org.chestnutbarrow.model.InvalidInputException;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/**
 * Runs one stand-in until SIGTERM.
 *
 * <pre>{@code
 * java -jar standin-all.jar --addresses FILE log --max-count 1000
 * }</pre>
 */
public final class Main {
    private static final Logger log = System.getLogger(Main.class.getName());
    private static final int USAGE_ERROR = 2;

    @Option(name = "--addresses", metaVar = "FILE", usage = "JSON file to write the bound addresses to")
    private Path addresses;

    @Argument(required = true, metaVar = "log|hosts|workers|proxy", handler = SubCommandHandler.class)
    @SubCommands({
        @SubCommand(name = "log", impl = Role.LogRole.class),
        @SubCommand(name = "hosts", impl = Role.HostsRole.class),
        @SubCommand(name = "workers", impl = Role.WorkersRole.class),
        @SubCommand(name = "proxy", impl = Role.ProxyRole.class)
    })
    private Role role;

    private Main() {}

    /** Entry point. */
    public static void main(String[] args) throws Exception {
        Main main = new Main();
        CmdLineParser parser = new CmdLineParser(main);
        try {
            parser.parseArgument(args);
            main.run();
        } catch (CmdLineException | InvalidInputException | IllegalArgumentException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(USAGE_ERROR);
        }
    }

    private void run() throws InvalidInputException, IOException, InterruptedException {
        Role.Started started = role.start();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> close(started.process()), "shutdown"));
        String json = Json.write(started.addresses());
        if (addresses == null) {
            System.out.println(json);
        } else {
            publish(json);
        }
        new CountDownLatch(1).await();
    }

    /** Moves the whole file into place, so that a reader never sees a part of it. */
    private void publish(String json) throws IOException {
        Path part = addresses.resolveSibling(addresses.getFileName() + ".part");
        Files.writeString(part, json);
        Files.move(part, addresses, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    private static void close(AutoCloseable process) {
        try {
            process.close();
        } catch (Exception e) {
            log.log(Level.WARNING, "event=close-failed", e);
        }
    }
}
