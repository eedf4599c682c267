package org.chestnutbarrow.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.UUID;
import org.chestnutbarrow.format.DeclarationFile;
import org.chestnutbarrow.format.Json;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.Declarations;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.platform.ConfigurationCheck;

/** Executes one command and prints its result. Not thread-safe. */
final class CommandRunner {
    private static final int HTTP_ACCEPTED = 202;
    private static final int HTTP_GATEWAY_TIMEOUT = 504;

    private final DaemonClient client;
    private final Options options;
    private final PrintStream out;

    CommandRunner(DaemonClient client, Options options, PrintStream out) {
        this.client = client;
        this.options = options;
        this.out = out;
    }

    ExitCode run(Command command) throws InvalidInputException, NotRunException, OutcomeUnknownException {
        return switch (command) {
            case Command.Check check -> check(check.file);
            case Command.Diff diff -> diff(diff.file);
            case Command.Apply apply -> apply(apply.file);
            case Command.Config config -> run(config.command);
            case Command.ConfigCheck check -> checkConfiguration(check);
            case Command.Zone zone -> zone(zone);
            case Command.Status _ -> printResult(client.get("/v1/status"));
            case Command.Explain explain ->
                printResult(client.get("/v1/explain/" + requireIdentifier("id", explain.id)));
            case Command.Submit submit -> submit(submit.file);
            case Command.Jobs _ -> printResult(client.get("/v1/jobs"));
            case Command.Cancel cancel -> cancel(cancel.jobs);
        };
    }

    private ExitCode check(Path file) throws InvalidInputException {
        Declarations declarations = readDeclarations(file);
        ObjectNode result = JsonNodeFactory.instance.objectNode();
        result.put("result", "valid")
                .put("classes", declarations.classes().size())
                .put("teams", declarations.teams().size())
                .put("availabilityZones", declarations.zones().size());
        print(result);
        return ExitCode.DONE;
    }

    private ExitCode checkConfiguration(Command.ConfigCheck check) throws InvalidInputException {
        byte[] file = readBytes(check.file);
        Optional<byte[]> against = check.against == null ? Optional.empty() : Optional.of(readBytes(check.against));
        ConfigurationCheck.Report report = ConfigurationCheck.check(file, against);
        if (check.json || options.output == Options.Output.json) {
            out.println(ReportOutput.json(report));
        } else {
            ReportOutput.lines(report).forEach(out::println);
        }
        return report.findings().isEmpty() ? ExitCode.DONE : ExitCode.FINDINGS;
    }

    private ExitCode diff(Path file) throws InvalidInputException, NotRunException {
        Declarations target = readDeclarations(file);
        DaemonResponse current = client.get("/v1/configuration");
        List<String> lines = DeclarationFile.diff(parseDeclarations(current), target);
        if (options.output == Options.Output.json) {
            ArrayNode changes = JsonNodeFactory.instance.arrayNode();
            lines.forEach(changes::add);
            print(JsonNodeFactory.instance
                    .objectNode()
                    .put("version", current.textField("version"))
                    .set("changes", changes));
        } else {
            out.println(lines.isEmpty() ? "no difference" : String.join(System.lineSeparator(), lines));
        }
        return ExitCode.DONE;
    }

    private ExitCode apply(Path file) throws InvalidInputException, NotRunException, OutcomeUnknownException {
        Declarations target = readDeclarations(file);
        DaemonResponse current = client.get("/v1/configuration");
        if (parseDeclarations(current).equals(target)) {
            print(JsonNodeFactory.instance
                    .objectNode()
                    .put("result", "unchanged")
                    .put("version", current.textField("version")));
            return ExitCode.DONE;
        }
        ObjectNode body = newChange(current);
        body.set("declarations", DeclarationFile.write(target));
        return send("/v1/configuration", body);
    }

    private ExitCode zone(Command.Zone zone) throws InvalidInputException, NotRunException, OutcomeUnknownException {
        requireIdentifier("zone", zone.name);
        ObjectNode body = newChange(client.get("/v1/configuration"));
        body.put("state", zone.direction.name().toUpperCase(Locale.ROOT));
        return send("/v1/zones/" + zone.name, body);
    }

    private static String requireIdentifier(String kind, String text) throws InvalidInputException {
        try {
            return Checks.identifier(kind, text);
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException(e.getMessage(), "check the name", e);
        }
    }

    private ObjectNode newChange(DaemonResponse current) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("id", "change-" + UUID.randomUUID())
                .put("baseVersion", current.body().path("version").asLong(-1))
                .put("author", options.author);
    }

    /** Sends a change; if the response is lost, queries the outcome of the change. */
    private ExitCode send(String target, ObjectNode body) throws NotRunException, OutcomeUnknownException {
        try {
            DaemonResponse response = client.post(target, body);
            return response.status() == HTTP_GATEWAY_TIMEOUT ? queryOutcome(body, response) : printResult(response);
        } catch (OutcomeUnknownException e) {
            return queryOutcome(body, new DaemonResponse(HTTP_GATEWAY_TIMEOUT, unknownResult(e.getMessage())));
        }
    }

    private ExitCode queryOutcome(ObjectNode body, DaemonResponse unknownOutcome) {
        try {
            DaemonResponse change = client.get("/v1/changes/" + body.path("id").asText());
            if (change.isSuccess()) {
                print(change.body());
                return ExitCode.ACCEPTED;
            }
        } catch (NotRunException e) {
            // The failed query does not affect the change, which was sent before and may have been applied.
            return printResult(unknownOutcome);
        }
        return printResult(unknownOutcome);
    }

    private ExitCode submit(Path file) throws InvalidInputException, NotRunException, OutcomeUnknownException {
        JsonNode job;
        try {
            job = Json.MAPPER.readTree(readBytes(file));
        } catch (IOException e) {
            throw new InvalidInputException(file + " is not valid JSON: " + e.getMessage(), "correct the file", e);
        }
        return printResult(client.post("/v1/jobs", job));
    }

    private ExitCode cancel(List<String> jobs) throws NotRunException, OutcomeUnknownException {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        jobs.forEach(body.putArray("jobs")::add);
        return printResult(client.post("/v1/jobs/cancel", body));
    }

    private ExitCode printResult(DaemonResponse response) {
        print(response.body());
        if (response.status() == HTTP_ACCEPTED) {
            return ExitCode.ACCEPTED;
        }
        if (response.status() == HTTP_GATEWAY_TIMEOUT) {
            return ExitCode.UNKNOWN;
        }
        return response.isSuccess() ? ExitCode.DONE : ExitCode.NOT_APPLIED;
    }

    private void print(JsonNode body) {
        if (options.output == Options.Output.json) {
            out.println(body);
        } else {
            new TextOutput(out).print(body);
        }
    }

    private static JsonNode unknownResult(String message) {
        return JsonNodeFactory.instance.objectNode().put("result", "unknown").put("message", message);
    }

    private static Declarations parseDeclarations(DaemonResponse configuration) throws NotRunException {
        try {
            byte[] json = Json.MAPPER.writeValueAsBytes(configuration.body().path("declarations"));
            return DeclarationFile.read("the daemon's configuration", json);
        } catch (IOException | InvalidInputException e) {
            throw new NotRunException(
                    "cannot parse the daemon's configuration", "use the same release of client and daemon", e);
        }
    }

    private static Declarations readDeclarations(Path file) throws InvalidInputException {
        return DeclarationFile.read(file.toString(), readBytes(file));
    }

    private static byte[] readBytes(Path file) throws InvalidInputException {
        try {
            return Files.readAllBytes(file);
        } catch (IOException e) {
            throw new InvalidInputException("cannot read " + file, "check the path and its permissions", e);
        }
    }
}
