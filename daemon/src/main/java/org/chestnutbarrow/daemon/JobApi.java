package org.chestnutbarrow.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.chestnutbarrow.catalog.ApplyResult;
import org.chestnutbarrow.catalog.Catalog;
import org.chestnutbarrow.catalog.JobState;
import org.chestnutbarrow.format.JobFile;
import org.chestnutbarrow.format.Json;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.Job;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.LogRecord;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.Team;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.WorkClass;
import org.chestnutbarrow.model.Worker;

/** HTTP API to submit, list and cancel jobs. Safe for use by several threads. */
final class JobApi {
    private static final int MAX_CANCELLED_JOBS = 10_000;

    private final Catalog catalog;
    private final LogWriter writer;
    private final Supplier<Collection<Worker>> workers;
    private final TimeSource time;

    JobApi(Catalog catalog, LogWriter writer, Supplier<Collection<Worker>> workers, TimeSource time) {
        this.catalog = catalog;
        this.writer = writer;
        this.workers = workers;
        this.time = time;
    }

    /** Accepts a job. Idempotent: the same job submitted again is reported as accepted. */
    HttpResponse submit(HttpRequest request) {
        try {
            Job job = JobFile.read(request.body(), catalog.configuration(), time.now());
            Optional<JobState> existing = catalog.job(job.id());
            if (existing.isPresent()) {
                return duplicateResponse(existing.get().job(), job);
            }
            checkPlaceable(job);
            return submissionResponse(writer.write(new LogRecord.JobAccepted(job)), job);
        } catch (InvalidInputException e) {
            return ApiResponses.invalidInput(e);
        } catch (NotRunException e) {
            return ApiResponses.notApplied(e);
        } catch (OutcomeUnknownException e) {
            return ApiResponses.outcomeUnknown(e);
        }
    }

    /** Returns the jobs that have not ended. */
    HttpResponse list() {
        ArrayNode jobs = ApiResponses.newObject().arrayNode();
        for (int shard = 0; shard < Job.SHARDS; shard++) {
            for (JobState state : catalog.jobs(shard)) {
                if (state.ended().isEmpty()) {
                    jobs.add(describe(state));
                }
            }
        }
        return ApiResponses.json(200, ApiResponses.newObject().set("jobs", jobs));
    }

    /** Returns the state of a job according to the log. */
    static ObjectNode describe(JobState state) {
        Job job = state.job();
        return ApiResponses.newObject()
                .put("id", job.id().value())
                .put("class", job.workClass())
                .put("team", job.team())
                .put("tasks", job.tasks())
                .put("finished", state.finished().size())
                .put("state", stateName(state))
                .put("finishBy", job.finishBy().map(Object::toString).orElse(""));
    }

    /** Cancels jobs; the response counts the unknown and ended ones as not cancelled. */
    HttpResponse cancel(HttpRequest request) {
        try {
            List<JobId> ids = jobIds(request);
            AppliedRecord applied = writer.write(new LogRecord.JobsCancelled(ids));
            ObjectNode response = ApiResponses.newObject().put("result", "cancelled");
            ArrayNode cancelled = response.putArray("jobs");
            if (applied.result() instanceof ApplyResult.JobsCancelled result) {
                result.jobs().forEach(id -> cancelled.add(id.value()));
            }
            return ApiResponses.json(200, response.put("notCancelled", ids.size() - cancelled.size()));
        } catch (InvalidInputException e) {
            return ApiResponses.invalidInput(e);
        } catch (NotRunException e) {
            return ApiResponses.notApplied(e);
        } catch (OutcomeUnknownException e) {
            return ApiResponses.outcomeUnknown(e);
        }
    }

    private static String stateName(JobState state) {
        if (state.allTasksFinished()) {
            return "finished";
        }
        return state.cancelled() ? "cancelled" : "open";
    }

    private HttpResponse submissionResponse(AppliedRecord applied, Job job) {
        return switch (applied.result()) {
            case ApplyResult.JobAdded added -> {
                Events.info(
                        "job-accepted",
                        "job",
                        added.job().id(),
                        "class",
                        added.job().workClass(),
                        "team",
                        added.job().team(),
                        "tasks",
                        added.job().tasks());
                yield ApiResponses.json(201, acceptedBody(added.job()));
            }
            case ApplyResult.JobAlreadyExists duplicate -> duplicateResponse(duplicate.existing(), job);
            case ApplyResult.NoEffect noEffect -> ApiResponses.error(409, "not-applied", noEffect.reason());
            case ApplyResult.ConfigurationReplaced _,
                    ApplyResult.ConfigurationConflict _,
                    ApplyResult.JobsCancelled _,
                    ApplyResult.ShardClaimAccepted _,
                    ApplyResult.ShardClaimRejected _,
                    ApplyResult.TasksRecorded _,
                    ApplyResult.ReceiptsChecked _,
                    ApplyResult.SnapshotRecorded _ ->
                throw new IllegalStateException("unexpected result of a job record");
        };
    }

    private static ObjectNode acceptedBody(Job job) {
        return ApiResponses.newObject()
                .put("result", "accepted")
                .put("id", job.id().value());
    }

    private static HttpResponse duplicateResponse(Job existing, Job submitted) {
        boolean identical = existing.workClass().equals(submitted.workClass())
                && existing.team().equals(submitted.team())
                && existing.tasks() == submitted.tasks()
                && existing.demand().equals(submitted.demand())
                && existing.runTime().equals(submitted.runTime());
        if (!identical) {
            return ApiResponses.error(
                    409,
                    "not-applied",
                    "another job already has the id " + existing.id() + "; submit this one with a new id");
        }
        return ApiResponses.json(200, acceptedBody(existing));
    }

    private void checkPlaceable(Job job) throws InvalidInputException {
        Configuration configuration = catalog.configuration();
        WorkClass workClass = configuration.workClass(job.workClass()).orElseThrow();
        if (workClass.interactive()) {
            throw new InvalidInputException(
                    "class " + workClass.name() + " is interactive",
                    "send requests to /" + workClass.name() + " instead");
        }
        Resources demand = job.demand();
        Collection<Worker> listed = workers.get();
        if (!listed.isEmpty() && listed.stream().noneMatch(worker -> demand.fitsIn(worker.capacity()))) {
            throw new InvalidInputException(
                    "a task of job " + job.id() + " exceeds the capacity of every worker", "lower its demand");
        }
        Team team = configuration.declarations().teams().get(job.team());
        Resources quota = team.quota();
        if (!demand.fitsIn(new Resources(
                Integer.MAX_VALUE, Integer.MAX_VALUE, quota.milliCores(), quota.memoryMiB(), quota.accelerators()))) {
            throw new InvalidInputException(
                    "a task of job " + job.id() + " exceeds the quota of team " + team.name(),
                    "lower its demand or have the quota raised");
        }
    }

    private static List<JobId> jobIds(HttpRequest request) throws InvalidInputException {
        try {
            JsonNode jobs = Json.MAPPER.readTree(request.body()).path("jobs");
            List<JobId> ids = new ArrayList<>();
            for (JsonNode job : jobs) {
                ids.add(new JobId(job.asText()));
            }
            if (ids.isEmpty() || ids.size() > MAX_CANCELLED_JOBS) {
                throw new InvalidInputException(
                        "field jobs has " + ids.size() + " entries", "send 1 to " + MAX_CANCELLED_JOBS + " job ids");
            }
            return ids;
        } catch (IOException | IllegalArgumentException e) {
            throw new InvalidInputException(
                    "malformed request body: " + e.getMessage(), "send {\"jobs\": [\"ID\"]}", e);
        }
    }
}
