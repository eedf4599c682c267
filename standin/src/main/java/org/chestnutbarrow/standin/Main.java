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
 * Runs one simulated platform service until SIGTERM.
 *
 * <pre>{@code
 * java -jar standin-all.jar --addresses FILE log --max-count 1000
 * }</pre>
 */
public final class Main {
    private static final Logger log = System.getLogger(Main.class.getName());
    private static final int USAGE_ERROR = 2;

    @Option(name = "--addresses", metaVar = "FILE", usage = "JSON file to which the bound addresses are written")
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

    /** Parses the command line and runs the selected service. */
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
        Role.RunningRole running = role.start();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> close(running.service()), "shutdown"));
        String json = Json.serialize(running.addresses());
        if (addresses == null) {
            System.out.println(json);
        } else {
            writeAddressFile(json);
        }
        new CountDownLatch(1).await();
    }

    /** Replaces the address file atomically, so that readers never see a partially written file. */
    private void writeAddressFile(String json) throws IOException {
        Path temporary = addresses.resolveSibling(addresses.getFileName() + ".part");
        Files.writeString(temporary, json);
        Files.move(temporary, addresses, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    private static void close(AutoCloseable service) {
        try {
            service.close();
        } catch (Exception e) {
            log.log(Level.WARNING, "event=close-failed", e);
        }
    }
}
