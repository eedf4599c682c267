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
import org.chestnutbarrow.catalog.LoggedJobState;
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

/** Jobs over HTTP: submit, list, cancel. Safe for use by several threads. */
final class JobApi {
    private static final int MAX_CANCELLED = 10_000;

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

    /** Accepts a job; submitting the same id again answers as the first time. */
    HttpResponse submit(HttpRequest request) {
        try {
            Job job = JobFile.read(request.body(), catalog.configuration(), time.now());
            Optional<LoggedJobState> known = catalog.job(job.id());
            if (known.isPresent()) {
                return known(known.get().job(), job);
            }
            checkPlaceable(job);
            return submitted(writer.write(new LogRecord.JobAccepted(job)), job);
        } catch (InvalidInputException e) {
            return Answers.invalid(e);
        } catch (NotRunException e) {
            return Answers.notApplied(e);
        } catch (OutcomeUnknownException e) {
            return Answers.unknown(e);
        }
    }

    /** Jobs that have not ended. */
    HttpResponse list() {
        ArrayNode jobs = Answers.object().arrayNode();
        for (int shard = 0; shard < Job.SHARDS; shard++) {
            for (LoggedJobState state : catalog.jobs(shard)) {
                if (state.ended().isEmpty()) {
                    jobs.add(describe(state));
                }
            }
        }
        return Answers.json(200, Answers.object().set("jobs", jobs));
    }

    /** What the log says of a job. */
    static ObjectNode describe(LoggedJobState state) {
        Job job = state.job();
        return Answers.object()
                .put("id", job.id().value())
                .put("class", job.workClass())
                .put("team", job.team())
                .put("tasks", job.tasks())
                .put("finished", state.finished().size())
                .put("state", state(state))
                .put("finishBy", job.finishBy().map(Object::toString).orElse(""));
    }

    /** Cancels jobs; unknown and ended ones are reported as such. */
    HttpResponse cancel(HttpRequest request) {
        try {
            List<JobId> ids = jobIds(request);
            AppliedRecord applied = writer.write(new LogRecord.JobsCancelled(ids));
            ObjectNode answer = Answers.object().put("result", "cancelled");
            ArrayNode cancelled = answer.putArray("jobs");
            if (applied.result() instanceof ApplyResult.JobsCancelled result) {
                result.jobs().forEach(id -> cancelled.add(id.value()));
            }
            return Answers.json(200, answer.put("notCancelled", ids.size() - cancelled.size()));
        } catch (InvalidInputException e) {
            return Answers.invalid(e);
        } catch (NotRunException e) {
            return Answers.notApplied(e);
        } catch (OutcomeUnknownException e) {
            return Answers.unknown(e);
        }
    }

    private static String state(LoggedJobState state) {
        if (state.allTasksFinished()) {
            return "finished";
        }
        return state.cancelled() ? "cancelled" : "open";
    }

    private HttpResponse submitted(AppliedRecord applied, Job job) {
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
                yield Answers.json(201, accepted(added.job()));
            }
            case ApplyResult.JobAlreadyExists earlier -> known(earlier.existing(), job);
            case ApplyResult.NoEffect none -> Answers.refused(409, "not-applied", none.reason());
            case ApplyResult.ConfigurationReplaced _,
                    ApplyResult.ConfigurationConflict _,
                    ApplyResult.JobsCancelled _,
                    ApplyResult.ShardClaimAccepted _,
                    ApplyResult.ShardClaimRejected _,
                    ApplyResult.TasksRecorded _,
                    ApplyResult.ReceiptsChecked _,
                    ApplyResult.SnapshotRecorded _ ->
                throw new IllegalStateException("result of another kind of record");
        };
    }

    private static ObjectNode accepted(Job job) {
        return Answers.object().put("result", "accepted").put("id", job.id().value());
    }

    private static HttpResponse known(Job first, Job again) {
        boolean same = first.workClass().equals(again.workClass())
                && first.team().equals(again.team())
                && first.tasks() == again.tasks()
                && first.demand().equals(again.demand())
                && first.runTime().equals(again.runTime());
        if (!same) {
            return Answers.refused(
                    409, "not-applied", "another job has the id " + first.id() + "; submit this one with a new id");
        }
        return Answers.json(200, accepted(first));
    }

    private void checkPlaceable(Job job) throws InvalidInputException {
        Configuration configuration = catalog.configuration();
        WorkClass work = configuration.workClass(job.workClass()).orElseThrow();
        if (work.interactive()) {
            throw new InvalidInputException(
                    "class " + work.name() + " is interactive", "send requests to /" + work.name() + " instead");
        }
        Resources demand = job.demand();
        Collection<Worker> known = workers.get();
        if (!known.isEmpty() && known.stream().noneMatch(worker -> demand.fitsIn(worker.capacity()))) {
            throw new InvalidInputException(
                    "a task of job " + job.id() + " needs more than any worker holds", "lower its demand");
        }
        Team team = configuration.declarations().teams().get(job.team());
        Resources quota = team.quota();
        if (!demand.fitsIn(new Resources(
                Integer.MAX_VALUE, Integer.MAX_VALUE, quota.milliCores(), quota.memoryMiB(), quota.accelerators()))) {
            throw new InvalidInputException(
                    "a task of job " + job.id() + " needs more than the quota of team " + team.name(),
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
            if (ids.isEmpty() || ids.size() > MAX_CANCELLED) {
                throw new InvalidInputException(
                        "field jobs has " + ids.size() + " entries", "send 1 to " + MAX_CANCELLED + " job ids");
            }
            return ids;
        } catch (IOException | IllegalArgumentException e) {
            throw new InvalidInputException("malformed body: " + e.getMessage(), "send {\"jobs\": [\"ID\"]}", e);
        }
    }
}
