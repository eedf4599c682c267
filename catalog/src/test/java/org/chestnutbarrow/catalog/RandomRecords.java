package org.chestnutbarrow.catalog;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.CheckpointId;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Declarations;
import org.chestnutbarrow.model.Job;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.LogRecord;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.TaskState;
import org.chestnutbarrow.model.ZoneState;

/** Generates records as appended by several daemons that race, repeat records and act on outdated state. */
final class RandomRecords {
    static final AvailabilityZone ZONE = new AvailabilityZone("eger");
    private static final int JOBS = 12;
    private static final int TASKS = 3;

    private final Random random;
    private Instant now = Instant.parse("2026-01-01T00:00:00Z");
    private LogRecord previous = new LogRecord.JobsCancelled(List.of());

    RandomRecords(long seed) {
        random = new Random(seed);
    }

    /** Returns the next record, which may or may not be consistent with the given state. */
    LogRecord next(Catalog catalog) {
        now = now.plusSeconds(random.nextInt(60));
        boolean repeat = random.nextInt(8) == 0;
        previous = repeat ? previous : newRecord(catalog);
        return previous;
    }

    private LogRecord newRecord(Catalog catalog) {
        long baseVersion = catalog.configuration().version() - (random.nextInt(3) == 0 ? 1 : 0);
        JobId job = new JobId("job-" + random.nextInt(JOBS));
        int shard = Job.shardOf(job);
        long epoch = catalog.shardClaim(shard).map(ShardClaim::epoch).orElse(0L);
        DaemonId daemon = new DaemonId("d" + random.nextInt(3));
        return switch (random.nextInt(9)) {
            case 0 ->
                new LogRecord.ConfigChanged("c" + random.nextInt(500), baseVersion, daemon.value(), declarations());
            case 1 -> {
                ZoneState state = random.nextBoolean() ? ZoneState.IN : ZoneState.OUT;
                yield new LogRecord.ZoneChanged("z" + random.nextInt(500), baseVersion, daemon.value(), ZONE, state);
            }
            case 2 -> new LogRecord.JobAccepted(job(job, now));
            case 3 -> new LogRecord.JobsCancelled(List.of(job));
            case 4, 5 -> new LogRecord.ShardClaimed(shard, epoch + random.nextInt(2), daemon, random.nextInt(3));
            case 6, 7 -> new LogRecord.TasksEnded(shard, epoch - random.nextInt(2), List.of(end(job, epoch)));
            default -> {
                Instant time = now.minus(Duration.ofMinutes(random.nextInt(20)));
                String id = time.getEpochSecond() / 300 * 300_000 + "-" + random.nextInt(3);
                yield new LogRecord.ReceiptsMade(daemon, 1, List.of(new LogRecord.Receipt(id, now)));
            }
        };
    }

    private LogRecord.TaskEnd end(JobId job, long epoch) {
        TaskState[] states = TaskState.values();
        TaskState state = states[random.nextInt(states.length)];
        Attempt attempt = new Attempt(Math.max(1, epoch - random.nextInt(2)), 1 + random.nextInt(20));
        Optional<CheckpointId> checkpoint = state == TaskState.CHECKPOINTED
                ? Optional.of(new CheckpointId("cp" + random.nextInt(4)))
                : Optional.empty();
        return new LogRecord.TaskEnd(new TaskId(job, random.nextInt(TASKS + 1)), attempt, state, checkpoint);
    }

    private Declarations declarations() {
        TreeSet<AvailabilityZone> zones = new TreeSet<>(List.of(new AvailabilityZone("z" + random.nextInt(3))));
        if (random.nextInt(4) > 0) {
            zones.add(ZONE);
        }
        return new Declarations(new TreeMap<>(), new TreeMap<>(), zones);
    }

    static Job job(JobId id, Instant submitted) {
        return new Job(id, "work", "team", TASKS, Resources.NONE, Duration.ofSeconds(9), Optional.empty(), submitted);
    }
}
