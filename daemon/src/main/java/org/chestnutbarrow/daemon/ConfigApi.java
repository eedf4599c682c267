package org.chestnutbarrow.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import java.util.function.Supplier;
import org.chestnutbarrow.catalog.ApplyResult;
import org.chestnutbarrow.catalog.Catalog;
import org.chestnutbarrow.catalog.ConfigChange;
import org.chestnutbarrow.format.DeclarationFile;
import org.chestnutbarrow.format.Json;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.membership.Confirmation;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.Declarations;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.LogRecord;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkClass;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.ZoneState;

/**
 * Operators' changes over HTTP. Safe for use by several threads.
 *
 * <p>A change is answered with {@code in-force}, {@code accepted} (in the log, not yet confirmed everywhere),
 * {@code lost}, {@code not-applied} or {@code unknown}.
 */
final class ConfigApi {
    /** Stays below the 7 s within which a change has to be in force everywhere. */
    private static final Duration CONFIRM_TIME = Duration.ofSeconds(6);

    private final Catalog catalog;
    private final LogWriter writer;
    private final InForce inForce;
    private final Supplier<Collection<Worker>> workers;

    ConfigApi(Catalog catalog, LogWriter writer, InForce inForce, Supplier<Collection<Worker>> workers) {
        this.catalog = catalog;
        this.writer = writer;
        this.inForce = inForce;
        this.workers = workers;
    }

    /** The configuration in force here. */
    HttpResponse get() {
        Configuration configuration = catalog.configuration();
        ObjectNode answer =
                Answers.object().put("version", configuration.version()).put("changeId", configuration.changeId());
        answer.set("declarations", DeclarationFile.write(configuration.declarations()));
        ObjectNode zones = answer.putObject("zones");
        for (AvailabilityZone zone : configuration.declarations().zones()) {
            zones.put(zone.value(), configuration.startsAllowed(zone) ? "IN" : "OUT");
        }
        return Answers.json(200, answer);
    }

    /** What became of a change, by its id. */
    HttpResponse change(String id) {
        Optional<ConfigChange> known = catalog.snapshot().changes().stream()
                .filter(change -> change.id().equals(id))
                .findFirst();
        if (known.isEmpty()) {
            return Answers.refused(404, "not-applied", "no change with this id is among the recent ones");
        }
        return Answers.json(
                200,
                Answers.object()
                        .put("result", "accepted")
                        .put("version", known.get().version()));
    }

    /** Replaces the declarations. */
    HttpResponse apply(HttpRequest request) throws InterruptedException {
        try {
            JsonNode body = body(request);
            String id = Checks.identifier("change id", text(body, "id"));
            byte[] file = Json.MAPPER.writeValueAsBytes(body.path("declarations"));
            Declarations declarations = DeclarationFile.read("declarations", file);
            checkAgainstWorkers(declarations);
            return write(new LogRecord.ConfigChanged(id, base(body), text(body, "author"), declarations));
        } catch (InvalidInputException e) {
            return Answers.invalid(e);
        } catch (IOException | IllegalArgumentException e) {
            return Answers.refused(400, "not-applied", String.valueOf(e.getMessage()));
        }
    }

    /** Takes a zone out or in. */
    HttpResponse zone(String name, HttpRequest request) throws InterruptedException {
        try {
            JsonNode body = body(request);
            String id = Checks.identifier("change id", text(body, "id"));
            AvailabilityZone zone = new AvailabilityZone(name);
            if (!catalog.configuration().declarations().zones().contains(zone)) {
                return Answers.refused(
                        404, "not-applied", "zone " + zone + " is not declared; declare it or check the name");
            }
            ZoneState state = zoneState(text(body, "state"));
            return write(new LogRecord.ZoneChanged(id, base(body), text(body, "author"), zone, state));
        } catch (InvalidInputException e) {
            return Answers.invalid(e);
        } catch (IllegalArgumentException e) {
            return Answers.refused(400, "not-applied", String.valueOf(e.getMessage()));
        }
    }

    private HttpResponse write(LogRecord record) throws InterruptedException {
        try {
            AppliedRecord applied = writer.write(record);
            return switch (applied.result()) {
                case ApplyResult.ConfigurationReplaced _ -> confirm(applied.offset());
                case ApplyResult.ConfigurationConflict lost -> lost(lost.conflictingChange());
                case ApplyResult.NoEffect none -> Answers.refused(409, "not-applied", none.reason());
                case ApplyResult.JobAdded _,
                        ApplyResult.JobAlreadyExists _,
                        ApplyResult.JobsCancelled _,
                        ApplyResult.ShardClaimAccepted _,
                        ApplyResult.ShardClaimRejected _,
                        ApplyResult.TasksRecorded _,
                        ApplyResult.ReceiptsChecked _,
                        ApplyResult.SnapshotRecorded _ ->
                    throw new IllegalStateException("result of another kind of record");
            };
        } catch (NotRunException e) {
            return Answers.notApplied(e);
        } catch (OutcomeUnknownException e) {
            return Answers.unknown(e);
        }
    }

    private HttpResponse confirm(long version) throws InterruptedException {
        Confirmation confirmation = inForce.await(version, CONFIRM_TIME);
        ObjectNode answer = Answers.object().put("version", version);
        return switch (confirmation) {
            case Confirmation.InForce _ -> {
                Events.info("configuration-in-force", "version", version);
                yield Answers.json(200, answer.put("result", "in-force"));
            }
            case Confirmation.Pending notYet -> {
                Events.warn("configuration-not-confirmed", "version", version, "missing", notYet.missing());
                ArrayNode missing = answer.put("result", "accepted").putArray("missing");
                notYet.missing().forEach(daemon -> missing.add(daemon.value()));
                yield Answers.json(202, answer);
            }
        };
    }

    private static HttpResponse lost(ConfigChange winner) {
        String message = "change " + winner.id() + " by " + winner.author() + " was accepted first as version "
                + winner.version() + "; look at the difference and apply again";
        return Answers.refused(409, "lost", message);
    }

    private void checkAgainstWorkers(Declarations declarations) throws InvalidInputException {
        Collection<Worker> known = workers.get();
        if (known.isEmpty()) {
            return;
        }
        for (WorkClass work : declarations.classes().values()) {
            Resources demand = work.demand();
            if (known.stream().noneMatch(worker -> demand.fitsIn(worker.capacity()))) {
                throw new InvalidInputException(
                        "classes." + work.name() + ".demand is more than any worker holds", "lower the demand");
            }
        }
    }

    private static JsonNode body(HttpRequest request) throws InvalidInputException {
        try {
            JsonNode body = Json.MAPPER.readTree(request.body());
            if (body != null && body.isObject()) {
                return body;
            }
        } catch (IOException e) {
            throw new InvalidInputException("the body is not JSON: " + e.getMessage(), "send a JSON object", e);
        }
        throw new InvalidInputException("the body is not a JSON object", "send a JSON object");
    }

    private static ZoneState zoneState(String text) throws InvalidInputException {
        return switch (text) {
            case "IN" -> ZoneState.IN;
            case "OUT" -> ZoneState.OUT;
            default -> throw new InvalidInputException("field state has another value", "send IN or OUT");
        };
    }

    private static String text(JsonNode body, String field) throws InvalidInputException {
        JsonNode value = body.path(field);
        if (!value.isTextual() || value.textValue().isEmpty()) {
            throw new InvalidInputException("field " + field + " is missing or not a text", "add it");
        }
        return value.textValue();
    }

    private static long base(JsonNode body) throws InvalidInputException {
        JsonNode value = body.path("baseVersion");
        if (!value.isIntegralNumber()) {
            throw new InvalidInputException(
                    "field baseVersion is missing or not a number", "send the version that the change was based on");
        }
        return value.longValue();
    }
}
