package org.chestnutbarrow.cli;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** The options of the command line as args4j fills them in. Used by one thread. */
final class Options {
    @Option(
            name = "--daemon",
            metaVar = "IP:PORT[,IP:PORT...]",
            usage = "addresses of daemons, tried in this order; default: the environment variable"
                    + " CHESTNUTBARROW_DAEMONS, or 127.0.0.1:8080")
    String daemons;

    @Option(name = "--timeout", metaVar = "SECONDS", usage = "longest wait for an answer (default 10)")
    int timeoutSeconds = 10;

    @Option(name = "--output", metaVar = "text|json", usage = "form of the output (default text)")
    Output output = Output.text;

    @Option(name = "--author", metaVar = "NAME", usage = "who makes the change (default: the user's name)")
    String author = System.getProperty("user.name", "unknown");

    @Option(name = "--help", aliases = "-h", help = true, usage = "show this help")
    boolean help;

    @Argument(metaVar = "COMMAND", required = true, handler = SubCommandHandler.class, usage = "what to do")
    @SubCommands({
        @SubCommand(name = "check", impl = Command.Check.class),
        @SubCommand(name = "diff", impl = Command.Diff.class),
        @SubCommand(name = "apply", impl = Command.Apply.class),
        @SubCommand(name = "zone", impl = Command.Zone.class),
        @SubCommand(name = "status", impl = Command.Status.class),
        @SubCommand(name = "explain", impl = Command.Explain.class),
        @SubCommand(name = "submit", impl = Command.Submit.class),
        @SubCommand(name = "jobs", impl = Command.Jobs.class),
        @SubCommand(name = "cancel", impl = Command.Cancel.class)
    })
    Command command;

    /** Form of the output. */
    enum Output {
        text,
        json
    }
}
