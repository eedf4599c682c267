package org.chestnutbarrow.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.chestnutbarrow.format.DaemonSettings;
import org.chestnutbarrow.format.SettingsFile;
import org.chestnutbarrow.logging.LogSetup;
import org.chestnutbarrow.model.InvalidInputException;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Entry point of the program {@code chestnutbarrow-daemon}. Used by one thread. */
public final class Main {
    private static final int EXIT_INVALID_INPUT = 2;

    @Argument(metaVar = "SETTINGS", required = true, usage = "settings file, JSON with comments")
    private Path settingsFile;

    @Option(name = "--check", usage = "check the settings and end")
    private boolean checkOnly;

    @Option(name = "--help", aliases = "-h", help = true, usage = "show this help")
    private boolean help;

    private Main() {}

    /** Runs a daemon until SIGTERM; exits with 2 if the settings are not valid. */
    public static void main(String[] args) throws InterruptedException {
        LogSetup.install();
        Main main = new Main();
        CmdLineParser parser = new CmdLineParser(main);
        try {
            parser.parseArgument(args);
            if (main.help) {
                System.out.println("usage: chestnutbarrow-daemon [--check] SETTINGS");
                parser.printUsage(System.out);
                return;
            }
            main.run();
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(EXIT_INVALID_INPUT);
        } catch (InvalidInputException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_INVALID_INPUT);
        }
    }

    private void run() throws InvalidInputException, InterruptedException {
        DaemonSettings settings = readSettings();
        if (checkOnly) {
            System.out.println(settingsFile + " is valid");
            return;
        }
        LogSetup.configure(settings.logLevel(), settings.logFile());
        Daemon daemon = Daemon.start(settings);
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon, stopped), "shutdown"));
        stopped.await();
    }

    private static void stop(Daemon daemon, CountDownLatch stopped) {
        try {
            daemon.shutdown();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            LogSetup.close();
            stopped.countDown();
        }
    }

    private DaemonSettings readSettings() throws InvalidInputException {
        try {
            return SettingsFile.read(settingsFile.toString(), Files.readAllBytes(settingsFile));
        } catch (IOException e) {
            throw new InvalidInputException("cannot read " + settingsFile, "check the path and its permissions", e);
        }
    }
}
