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
import java.util.UUID;
import org.chestnutbarrow.format.DeclarationFile;
import org.chestnutbarrow.format.Json;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.Declarations;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;

/** Carries out one command and prints its result. Used by one thread. */
final class Runner {
    private static final int ACCEPTED = 202;
    private static final int GATEWAY_TIMEOUT = 504;

    private final DaemonClient client;
    private final Options options;
    private final PrintStream out;

    Runner(DaemonClient client, Options options, PrintStream out) {
        this.client = client;
        this.options = options;
        this.out = out;
    }

    ExitCode run(Command command) throws InvalidInputException, NotRunException, OutcomeUnknownException {
        return switch (command) {
            case Command.Check check -> check(check.file);
            case Command.Diff diff -> diff(diff.file);
            case Command.Apply apply -> apply(apply.file);
            case Command.Zone zone -> zone(zone);
            case Command.Status _ -> show(client.get("/v1/status"));
            case Command.Explain explain -> show(client.get("/v1/explain/" + identifier("id", explain.id)));
            case Command.Submit submit -> submit(submit.file);
            case Command.Jobs _ -> show(client.get("/v1/jobs"));
            case Command.Cancel cancel -> cancel(cancel.jobs);
        };
    }

    private ExitCode check(Path file) throws InvalidInputException {
        Declarations declarations = read(file);
        ObjectNode answer = JsonNodeFactory.instance.objectNode();
        answer.put("result", "valid")
                .put("classes", declarations.classes().size())
                .put("teams", declarations.teams().size())
                .put("availabilityZones", declarations.zones().size());
        print(answer);
        return ExitCode.DONE;
    }

    private ExitCode diff(Path file) throws InvalidInputException, NotRunException {
        Declarations wanted = read(file);
        Answer current = client.get("/v1/configuration");
        List<String> lines = DeclarationFile.diff(declarations(current), wanted);
        if (options.output == Options.Output.json) {
            ArrayNode array = JsonNodeFactory.instance.arrayNode();
            lines.forEach(array::add);
            print(JsonNodeFactory.instance
                    .objectNode()
                    .put("version", current.text("version"))
                    .set("changes", array));
        } else {
            out.println(lines.isEmpty() ? "no difference" : String.join(System.lineSeparator(), lines));
        }
        return ExitCode.DONE;
    }

    private ExitCode apply(Path file) throws InvalidInputException, NotRunException, OutcomeUnknownException {
        Declarations wanted = read(file);
        Answer current = client.get("/v1/configuration");
        if (declarations(current).equals(wanted)) {
            print(JsonNodeFactory.instance
                    .objectNode()
                    .put("result", "unchanged")
                    .put("version", current.text("version")));
            return ExitCode.DONE;
        }
        ObjectNode body = change(current);
        body.set("declarations", DeclarationFile.write(wanted));
        return send("/v1/configuration", body);
    }

    private ExitCode zone(Command.Zone zone) throws InvalidInputException, NotRunException, OutcomeUnknownException {
        identifier("zone", zone.name);
        ObjectNode body = change(client.get("/v1/configuration"));
        body.put("state", zone.direction.name().toUpperCase(Locale.ROOT));
        return send("/v1/zones/" + zone.name, body);
    }

    private static String identifier(String what, String text) throws InvalidInputException {
        try {
            return Checks.identifier(what, text);
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException(e.getMessage(), "check the name", e);
        }
    }

    private ObjectNode change(Answer current) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("id", "change-" + UUID.randomUUID())
                .put("baseVersion", current.body().path("version").asLong(-1))
                .put("author", options.author);
    }

    /** Sends a change; if the answer is lost, asks what became of the change. */
    private ExitCode send(String target, ObjectNode body) throws NotRunException, OutcomeUnknownException {
        try {
            Answer answer = client.post(target, body);
            return answer.status() == GATEWAY_TIMEOUT ? readBack(body, answer) : show(answer);
        } catch (OutcomeUnknownException e) {
            return readBack(body, new Answer(GATEWAY_TIMEOUT, problem(e.getMessage())));
        }
    }

    private ExitCode readBack(ObjectNode body, Answer unknown) {
        try {
            Answer found = client.get("/v1/changes/" + body.path("id").asText());
            if (found.ok()) {
                print(found.body());
                return ExitCode.ACCEPTED;
            }
        } catch (NotRunException e) {
            // That nobody can be asked says nothing about the change, which was sent before.
            return show(unknown);
        }
        return show(unknown);
    }

    private ExitCode submit(Path file) throws InvalidInputException, NotRunException, OutcomeUnknownException {
        JsonNode job;
        try {
            job = Json.MAPPER.readTree(bytes(file));
        } catch (IOException e) {
            throw new InvalidInputException(file + " is not JSON: " + e.getMessage(), "correct the file", e);
        }
        return show(client.post("/v1/jobs", job));
    }

    private ExitCode cancel(List<String> jobs) throws NotRunException, OutcomeUnknownException {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        jobs.forEach(body.putArray("jobs")::add);
        return show(client.post("/v1/jobs/cancel", body));
    }

    private ExitCode show(Answer answer) {
        print(answer.body());
        if (answer.status() == ACCEPTED) {
            return ExitCode.ACCEPTED;
        }
        if (answer.status() == GATEWAY_TIMEOUT) {
            return ExitCode.UNKNOWN;
        }
        return answer.ok() ? ExitCode.DONE : ExitCode.NOT_APPLIED;
    }

    private void print(JsonNode answer) {
        if (options.output == Options.Output.json) {
            out.println(answer);
        } else {
            new TextOutput(out).print(answer);
        }
    }

    private static JsonNode problem(String message) {
        return JsonNodeFactory.instance.objectNode().put("result", "unknown").put("message", message);
    }

    private static Declarations declarations(Answer configuration) throws NotRunException {
        try {
            byte[] json = Json.MAPPER.writeValueAsBytes(configuration.body().path("declarations"));
            return DeclarationFile.read("the daemon's configuration", json);
        } catch (IOException | InvalidInputException e) {
            throw new NotRunException("the daemon's configuration cannot be read", "use the same release on both", e);
        }
    }

    private static Declarations read(Path file) throws InvalidInputException {
        return DeclarationFile.read(file.toString(), bytes(file));
    }

    private static byte[] bytes(Path file) throws InvalidInputException {
        try {
            return Files.readAllBytes(file);
        } catch (IOException e) {
            throw new InvalidInputException("cannot read " + file, "check the path and its permissions", e);
        }
    }
}
