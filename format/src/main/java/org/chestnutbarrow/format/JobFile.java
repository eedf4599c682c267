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
 * Parses the body of {@code POST /v1/jobs}. Only {@code id} and {@code workClass} are required. By default,
 * {@code tasks} is 1, {@code runMs} is 0, and team, demand and finish-by time are those of the class. Stateless.
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
     * @param configuration configuration with the classes and teams
     * @param submitted time of submission
     * @throws InvalidInputException listing all errors, each with line, path and remedy
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
        Optional<WorkClass> workClass = reader.parse(
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
        Optional<Resources> demand = reader.optional("demand").flatMap(node -> ResourcesFormat.read(node, problems));
        int runMs = reader.number(reader.optional("runMs"), 0, MAX_RUN_MS, "milliseconds")
                .orElse(0);
        Optional<Instant> finishBy =
                reader.parse(reader.optional("finishBy"), "a time such as \"2026-12-04T05:30:00Z\"", Instant::parse);
        reader.rejectUnknownFields();
        if (!problems.isEmpty()) {
            return Optional.empty();
        }
        WorkClass declaredClass = workClass.orElseThrow();
        return Optional.of(new Job(
                id.orElseThrow(),
                declaredClass.name(),
                team.orElse(declaredClass.team()),
                tasks,
                demand.orElse(declaredClass.demand()),
                Duration.ofMillis(runMs),
                finishBy.or(() -> finishBy(declaredClass.target(), submitted)),
                submitted));
    }

    private static Optional<Instant> finishBy(Target target, Instant submitted) {
        return switch (target) {
            case Target.FinishBy finish -> Optional.of(finish.nextAfter(submitted));
            case Target.TailLatency latency -> Optional.empty();
            case Target.AlwaysOn always -> Optional.empty();
        };
    }
}
