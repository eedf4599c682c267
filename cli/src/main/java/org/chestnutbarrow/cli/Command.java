package org.chestnutbarrow.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** A command with its arguments, which are set by args4j. Not thread-safe. */
sealed interface Command {
    /** Validates a declaration file without sending it. */
    final class Check implements Command {
        @Argument(metaVar = "FILE", required = true, usage = "declaration file")
        Path file;
    }

    /** Shows what applying a declaration file would change. */
    final class Diff implements Command {
        @Argument(metaVar = "FILE", required = true, usage = "declaration file")
        Path file;
    }

    /** Replaces the configuration by a declaration file. */
    final class Apply implements Command {
        @Argument(metaVar = "FILE", required = true, usage = "declaration file")
        Path file;
    }

    /** Takes an availability zone out of service or back in. */
    final class Zone implements Command {
        @Argument(index = 0, metaVar = "out|in", required = true, usage = "take the zone out of service or back in")
        Direction direction;

        @Argument(index = 1, metaVar = "NAME", required = true, usage = "availability zone")
        String name;
    }

    /** The target state of an availability zone; the names are the command-line values. */
    enum Direction {
        out,
        in
    }

    /** Shows availability zones, work classes, backlog and daemons. */
    final class Status implements Command {}

    /** Shows the decisions on a request or job. */
    final class Explain implements Command {
        @Argument(metaVar = "ID", required = true, usage = "request id or job id")
        String id;
    }

    /** Submits a job. */
    final class Submit implements Command {
        @Argument(metaVar = "FILE", required = true, usage = "job file")
        Path file;
    }

    /** Lists jobs that have not ended. */
    final class Jobs implements Command {}

    /** Commands on the configuration that nodes read from the platform's store. */
    final class Config implements Command {
        @Argument(metaVar = "check", required = true, handler = SubCommandHandler.class, usage = "check a file")
        @SubCommands({@SubCommand(name = "check", impl = ConfigCheck.class)})
        Command command;
    }

    /** Checks a configuration of nodes without sending it. */
    final class ConfigCheck implements Command {
        @Argument(metaVar = "FILE", required = true, usage = "configuration in the platform's form")
        Path file;

        @Option(name = "--against", metaVar = "FILE", usage = "configuration in force, to list the differences")
        Path against;

        @Option(name = "--json", usage = "print one JSON document, as --output json does")
        boolean json;
    }

    /** Cancels jobs. */
    final class Cancel implements Command {
        @Argument(metaVar = "JOB...", required = true, usage = "job ids")
        List<String> jobs = new ArrayList<>();
    }
}
