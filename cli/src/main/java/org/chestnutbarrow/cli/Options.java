package org.chestnutbarrow.cli;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** The command-line options, which are set by args4j. Not thread-safe. */
final class Options {
    @Option(
            name = "--daemon",
            metaVar = "IP:PORT[,IP:PORT...]",
            usage = "addresses of daemons, tried in this order; default: the environment variable"
                    + " CHESTNUTBARROW_DAEMONS, or 127.0.0.1:8080")
    String daemons;

    @Option(name = "--timeout", metaVar = "SECONDS", usage = "maximum time to wait for a response (default 10)")
    int timeoutSeconds = 10;

    @Option(name = "--output", metaVar = "text|json", usage = "output format (default text)")
    Output output = Output.text;

    @Option(name = "--author", metaVar = "NAME", usage = "author of the change (default: name of the user)")
    String author = System.getProperty("user.name", "unknown");

    @Option(name = "--help", aliases = "-h", help = true, usage = "show this help")
    boolean help;

    @Argument(metaVar = "COMMAND", required = true, handler = SubCommandHandler.class, usage = "command to run")
    @SubCommands({
        @SubCommand(name = "check", impl = Command.Check.class),
        @SubCommand(name = "diff", impl = Command.Diff.class),
        @SubCommand(name = "apply", impl = Command.Apply.class),
        @SubCommand(name = "config", impl = Command.Config.class),
        @SubCommand(name = "zone", impl = Command.Zone.class),
        @SubCommand(name = "status", impl = Command.Status.class),
        @SubCommand(name = "explain", impl = Command.Explain.class),
        @SubCommand(name = "submit", impl = Command.Submit.class),
        @SubCommand(name = "jobs", impl = Command.Jobs.class),
        @SubCommand(name = "cancel", impl = Command.Cancel.class)
    })
    Command command;

    /** Output format; the names are the command-line values. */
    enum Output {
        text,
        json
    }
}
