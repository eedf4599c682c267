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
 * HTTP API for operators to read and change the configuration. Safe for use by several threads.
 *
 * <p>The result of a change is {@code in-force}, {@code accepted} (in the log but not confirmed by all daemons),
 * {@code lost} (another change was accepted first), {@code not-applied} or {@code unknown}.
 */
final class ConfigApi {
    /** Shorter than the 7 s within which a change must be in force on all daemons. */
    private static final Duration CONFIRMATION_TIMEOUT = Duration.ofSeconds(6);

    private final Catalog catalog;
    private final LogWriter writer;
    private final ConfirmationWaiter confirmations;
    private final Supplier<Collection<Worker>> workers;

    ConfigApi(
            Catalog catalog, LogWriter writer, ConfirmationWaiter confirmations, Supplier<Collection<Worker>> workers) {
        this.catalog = catalog;
        this.writer = writer;
        this.confirmations = confirmations;
        this.workers = workers;
    }

    /** Returns the configuration that is in force on this daemon. */
    HttpResponse currentConfiguration() {
        Configuration configuration = catalog.configuration();
        ObjectNode response = ApiResponses.newObject()
                .put("version", configuration.version())
                .put("changeId", configuration.changeId());
        response.set("declarations", DeclarationFile.write(configuration.declarations()));
        ObjectNode zones = response.putObject("zones");
        for (AvailabilityZone zone : configuration.declarations().zones()) {
            zones.put(zone.value(), configuration.startsAllowed(zone) ? "IN" : "OUT");
        }
        return ApiResponses.json(200, response);
    }

    /** Returns the result of a change, by its id. */
    HttpResponse changeResult(String id) {
        Optional<ConfigChange> found = catalog.snapshot().changes().stream()
                .filter(change -> change.id().equals(id))
                .findFirst();
        if (found.isEmpty()) {
            return ApiResponses.error(404, "not-applied", "no recent change has this id");
        }
        return ApiResponses.json(
                200,
                ApiResponses.newObject()
                        .put("result", "accepted")
                        .put("version", found.get().version()));
    }

    /** Replaces the declarations of zones, teams and classes. */
    HttpResponse replaceDeclarations(HttpRequest request) throws InterruptedException {
        try {
            JsonNode body = body(request);
            String id = Checks.identifier("change id", text(body, "id"));
            byte[] file = Json.MAPPER.writeValueAsBytes(body.path("declarations"));
            Declarations declarations = DeclarationFile.read("declarations", file);
            checkFitsWorkers(declarations);
            return write(new LogRecord.ConfigChanged(id, baseVersion(body), text(body, "author"), declarations));
        } catch (InvalidInputException e) {
            return ApiResponses.invalidInput(e);
        } catch (IOException | IllegalArgumentException e) {
            return ApiResponses.error(400, "not-applied", String.valueOf(e.getMessage()));
        }
    }

    /** Takes an availability zone out of service or returns it to service. */
    HttpResponse changeZoneState(String name, HttpRequest request) throws InterruptedException {
        try {
            JsonNode body = body(request);
            String id = Checks.identifier("change id", text(body, "id"));
            AvailabilityZone zone = new AvailabilityZone(name);
            if (!catalog.configuration().declarations().zones().contains(zone)) {
                return ApiResponses.error(
                        404, "not-applied", "zone " + zone + " is not declared; declare it or check the name");
            }
            ZoneState state = zoneState(text(body, "state"));
            return write(new LogRecord.ZoneChanged(id, baseVersion(body), text(body, "author"), zone, state));
        } catch (InvalidInputException e) {
            return ApiResponses.invalidInput(e);
        } catch (IllegalArgumentException e) {
            return ApiResponses.error(400, "not-applied", String.valueOf(e.getMessage()));
        }
    }

    private HttpResponse write(LogRecord record) throws InterruptedException {
        try {
            AppliedRecord applied = writer.write(record);
            return switch (applied.result()) {
                case ApplyResult.ConfigurationReplaced _ -> awaitConfirmation(applied.offset());
                case ApplyResult.ConfigurationConflict conflict -> conflictResponse(conflict.conflictingChange());
                case ApplyResult.NoEffect noEffect -> ApiResponses.error(409, "not-applied", noEffect.reason());
                case ApplyResult.JobAdded _,
                        ApplyResult.JobAlreadyExists _,
                        ApplyResult.JobsCancelled _,
                        ApplyResult.ShardClaimAccepted _,
                        ApplyResult.ShardClaimRejected _,
                        ApplyResult.TasksRecorded _,
                        ApplyResult.ReceiptsChecked _,
                        ApplyResult.SnapshotRecorded _ ->
                    throw new IllegalStateException("unexpected result of a configuration record");
            };
        } catch (NotRunException e) {
            return ApiResponses.notApplied(e);
        } catch (OutcomeUnknownException e) {
            return ApiResponses.outcomeUnknown(e);
        }
    }

    private HttpResponse awaitConfirmation(long version) throws InterruptedException {
        Confirmation confirmation = confirmations.await(version, CONFIRMATION_TIMEOUT);
        ObjectNode response = ApiResponses.newObject().put("version", version);
        return switch (confirmation) {
            case Confirmation.InForce _ -> {
                Events.info("configuration-in-force", "version", version);
                yield ApiResponses.json(200, response.put("result", "in-force"));
            }
            case Confirmation.Pending pending -> {
                Events.warn("configuration-not-confirmed", "version", version, "missing", pending.missing());
                ArrayNode missing = response.put("result", "accepted").putArray("missing");
                pending.missing().forEach(daemon -> missing.add(daemon.value()));
                yield ApiResponses.json(202, response);
            }
        };
    }

    private static HttpResponse conflictResponse(ConfigChange accepted) {
        String message = "change " + accepted.id() + " by " + accepted.author() + " was accepted first as version "
                + accepted.version() + "; review the difference and apply again";
        return ApiResponses.error(409, "lost", message);
    }

    private void checkFitsWorkers(Declarations declarations) throws InvalidInputException {
        Collection<Worker> listed = workers.get();
        if (listed.isEmpty()) {
            return;
        }
        for (WorkClass workClass : declarations.classes().values()) {
            Resources demand = workClass.demand();
            if (listed.stream().noneMatch(worker -> demand.fitsIn(worker.capacity()))) {
                throw new InvalidInputException(
                        "classes." + workClass.name() + ".demand exceeds the capacity of every worker",
                        "lower the demand");
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
            throw new InvalidInputException("the body is not valid JSON: " + e.getMessage(), "send a JSON object", e);
        }
        throw new InvalidInputException("the body is not a JSON object", "send a JSON object");
    }

    private static ZoneState zoneState(String text) throws InvalidInputException {
        return switch (text) {
            case "IN" -> ZoneState.IN;
            case "OUT" -> ZoneState.OUT;
            default -> throw new InvalidInputException("field state has an invalid value", "send IN or OUT");
        };
    }

    private static String text(JsonNode body, String field) throws InvalidInputException {
        JsonNode value = body.path(field);
        if (!value.isTextual() || value.textValue().isEmpty()) {
            throw new InvalidInputException(
                    "field " + field + " is missing, empty or not a string", "set it to a non-empty string");
        }
        return value.textValue();
    }

    private static long baseVersion(JsonNode body) throws InvalidInputException {
        JsonNode value = body.path("baseVersion");
        if (!value.isIntegralNumber()) {
            throw new InvalidInputException(
                    "field baseVersion is missing or not an integer", "send the version that the change is based on");
        }
        return value.longValue();
    }
}
