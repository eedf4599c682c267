package org.chestnutbarrow.format;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.Job;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.Target;
import org.chestnutbarrow.model.WorkClass;

/**
 * The body of {@code POST /v1/jobs}. Only {@code id} and {@code workClass} are required: {@code tasks} is 1, {@code runMs}
 * is 0, and team, demand and finish-by time follow from the class. Stateless.
 *
 * <pre>{@code
 * Job job = JobFile.read(request.body(), catalog.configuration(), time.now());
 * }</pre>
 */
public final class JobFile {
    private static final int MAX_RUN_MS = Integer.MAX_VALUE;

    private JobFile() {}

    /**
     * Reads a job.
     *
     * @param configuration where the class's defaults come from
     * @param submitted when the job was submitted
     * @throws InvalidInputException with all errors, each with line, path and remedy
     */
    public static Job read(byte[] data, Configuration configuration, Instant submitted) throws InvalidInputException {
        Problems problems = new Problems("job");
        Optional<Job> job = Node.parse(data, problems)
                .flatMap(node -> FieldReader.of(node, problems))
                .flatMap(reader -> read(reader, configuration, submitted, problems));
        problems.throwIfAny();
        return job.orElseThrow();
    }

    private static Optional<Job> read(
            FieldReader reader, Configuration configuration, Instant submitted, Problems problems) {
        Optional<JobId> id = reader.parse(
                reader.required("id", "\"reconcile-2026-12-04\""), "1 to 128 letters, digits and . - _ :", JobId::new);
        Optional<WorkClass> work = reader.parse(
                reader.required("workClass", "\"CLASS\""),
                "one of the declared classes "
                        + configuration.declarations().classes().keySet(),
                text -> configuration.workClass(text).orElseThrow());
        Optional<String> team = reader.parse(
                reader.optional("team"),
                "one of the declared teams "
                        + configuration.declarations().teams().keySet(),
                text -> configuration.declarations().teams().get(text).name());
        int tasks = reader.number(reader.optional("tasks"), 1, Job.MAX_TASKS, "tasks")
                .orElse(1);
        Optional<Resources> demand = reader.optional("demand").flatMap(node -> Amounts.read(node, problems));
        int runMs = reader.number(reader.optional("runMs"), 0, MAX_RUN_MS, "milliseconds")
                .orElse(0);
        Optional<Instant> finishBy =
                reader.parse(reader.optional("finishBy"), "a time such as \"2026-12-04T05:30:00Z\"", Instant::parse);
        reader.finish();
        if (!problems.none()) {
            return Optional.empty();
        }
        WorkClass known = work.orElseThrow();
        return Optional.of(new Job(
                id.orElseThrow(),
                known.name(),
                team.orElse(known.team()),
                tasks,
                demand.orElse(known.demand()),
                Duration.ofMillis(runMs),
                finishBy.or(() -> finishBy(known.target(), submitted)),
                submitted));
    }

    private static Optional<Instant> finishBy(Target target, Instant submitted) {
        return switch (target) {
            case Target.FinishBy finish -> Optional.of(finish.after(submitted));
            case Target.TailLatency latency -> Optional.empty();
            case Target.AlwaysOn always -> Optional.empty();
        };
    }
}
