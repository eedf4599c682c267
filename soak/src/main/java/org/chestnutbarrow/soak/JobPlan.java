package org.chestnutbarrow.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.random.RandomGenerator;

/**
 * A job and what its client does. Immutable.
 *
 * @param id the job id
 * @param steps the steps, each of which starts after the one before
 * @param cancelAfter time after its acceptance at which the client cancels it; negative if it does not
 * @param followUps what clients do from the end of the last task on
 */
record JobPlan(String id, List<Stage> steps, Duration cancelAfter, List<FollowUp> followUps) {
    private static final int MAX_RUN_MS = 1200;
    /** Short enough that other nodes have often not read a job yet when it ends. */
    private static final int MAX_SHORT_RUN_MS = 150;

    private static final int SERVING_TARGET_MS = 50;
    private static final int SERVING_TAIL_MS = 20;
    private static final int SERVING_TASKS = 6;
    private static final int SERVING_CPU = 250;
    private static final Duration SERVING_TIME = Duration.ofHours(1);
    /** Long enough for some reports of the tasks that serve beside it. */
    private static final Duration FILLING_TIME = Duration.ofMillis(1500);

    private static final int CANCEL_EARLY_PERCENT = 5;
    private static final int CANCEL_AT_END_PERCENT = 15;
    private static final int RESUBMIT_AT_END_PERCENT = 70;

    /** How the tasks of a step share a worker with others. */
    sealed interface Load {}

    /** The tasks use what they need. */
    record Plain() implements Load {}

    /** The tasks serve users until they are cancelled. */
    record Serving(String image) implements Load {}

    /** The tasks use what others leave. */
    record Filling(String image) implements Load {}

    /** A step: equal tasks with their need of processor time in millicores and their run time. */
    record Stage(int tasks, int cpu, Duration runTime, Load load) {
        /** Creates a step of tasks without an image. */
        Stage(int tasks, int cpu, Duration runTime) {
            this(tasks, cpu, runTime, new Plain());
        }

        /** Returns the processor time that the worker reserves for a task. */
        int reservedCpu() {
            return switch (load) {
                case Plain _, Serving _ -> cpu;
                case Filling _ -> 0;
            };
        }

        /** Returns what a worker lists of the load of a task: the tail of its response times in ms, or its use in millicores. */
        int listedLoad() {
            return switch (load) {
                case Plain _ -> 0;
                case Serving _ -> SERVING_TAIL_MS;
                case Filling _ -> cpu;
            };
        }

        /** Returns the progress that a worker lists for a task, in percent. */
        int listedPercent() {
            return switch (load) {
                case Plain _, Filling _ -> 0;
                case Serving _ -> 100;
            };
        }
    }

    /** What a client does after the last task has ended. */
    enum Action {
        RESUBMIT,
        CANCEL,
        ASK
    }

    /** An action at a time after the end of the last task. */
    record FollowUp(Duration after, Action action) {}

    JobPlan {
        steps = List.copyOf(steps);
        followUps = List.copyOf(followUps);
    }

    /** Returns a job whose tasks serve until it is cancelled. */
    static JobPlan serving(String id) {
        Stage stage = new Stage(SERVING_TASKS, SERVING_CPU, SERVING_TIME, new Serving(image(id)));
        return new JobPlan(id, List.of(stage), Duration.ofMillis(-1), List.of());
    }

    /** Returns a name of an image as registries give it, with a digest. */
    private static String image(String id) {
        return String.format(Locale.ROOT, "registry.example/soak/%s@sha256:%064x", id, id.hashCode() & 0xffffffffL);
    }

    /**
     * Chooses a job; without {@code repeats} its client only asks for its state. With {@code images} its tasks may fill what
     * others leave, under an image of their own.
     */
    static JobPlan create(RandomGenerator random, String id, boolean repeats, boolean images) {
        JobPlan plan = create(random, id, repeats);
        if (!images || random.nextBoolean()) {
            return plan;
        }
        List<Stage> filling = plan.steps().stream()
                .map(stage -> new Stage(stage.tasks(), stage.cpu(), FILLING_TIME, new Filling(image(id))))
                .toList();
        return new JobPlan(id, filling, plan.cancelAfter(), plan.followUps());
    }

    private static JobPlan create(RandomGenerator random, String id, boolean repeats) {
        List<Stage> steps = new ArrayList<>();
        int count = random.nextInt(4) == 0 ? 2 : 1;
        for (int i = 0; i < count; i++) {
            int maxMs = random.nextInt(3) == 0 ? MAX_RUN_MS : MAX_SHORT_RUN_MS;
            steps.add(new Stage(
                    random.nextInt(1, 4), random.nextInt(1, 5) * 250, Duration.ofMillis(random.nextInt(30, maxMs))));
        }
        boolean cancelEarly = repeats && random.nextInt(100) < CANCEL_EARLY_PERCENT;
        return new JobPlan(
                id, steps, Duration.ofMillis(cancelEarly ? random.nextInt(1500) : -1), followUps(random, repeats));
    }

    /** Repeats the submission while the end is being stored, and seconds later; then asks for the state. */
    private static List<FollowUp> followUps(RandomGenerator random, boolean repeats) {
        List<FollowUp> result = new ArrayList<>();
        if (repeats && random.nextInt(100) < RESUBMIT_AT_END_PERCENT) {
            result.add(new FollowUp(Duration.ofMillis(random.nextInt(20)), Action.RESUBMIT));
            result.add(new FollowUp(Duration.ofMillis(random.nextInt(20, 400)), Action.RESUBMIT));
            result.add(new FollowUp(Duration.ofMillis(random.nextInt(400, 1500)), Action.RESUBMIT));
            result.add(new FollowUp(Duration.ofMillis(random.nextInt(1500, 8000)), Action.RESUBMIT));
        }
        if (repeats && random.nextInt(100) < CANCEL_AT_END_PERCENT) {
            result.add(new FollowUp(Duration.ofMillis(random.nextInt(600)), Action.CANCEL));
        }
        for (int i = 0; i < 4; i++) {
            result.add(new FollowUp(Duration.ofMillis(random.nextInt(200, 9000)), Action.ASK));
        }
        return result;
    }

    int taskCount() {
        return steps.stream().mapToInt(Stage::tasks).sum();
    }

    /** Returns the body of a submission. Workers get the need and the run time of the tasks in the payload. */
    String body() {
        ObjectNode root = Json.object();
        ObjectNode payload = Json.object();
        ArrayNode needs = payload.putArray("steps");
        ArrayNode stepNodes = root.putArray("steps");
        for (int i = 0; i < steps.size(); i++) {
            Stage stage = steps.get(i);
            ObjectNode need = needs.addObject()
                    .put("cpu", stage.cpu())
                    .put("ms", stage.runTime().toMillis());
            ObjectNode step = stepNodes
                    .addObject()
                    .put("count", stage.tasks())
                    .put("cpu", stage.cpu())
                    .put("mem_mb", 1)
                    .put("estimate_ms", stage.runTime().toMillis());
            switch (stage.load()) {
                case Plain _ -> {}
                case Serving(String image) -> {
                    need.put("serving", image);
                    step.put("image", image)
                            .put("long_running", true)
                            .put("target_ms", SERVING_TARGET_MS)
                            .put("anti_affinity", 1);
                }
                case Filling(String image) -> {
                    need.put("filling", image);
                    step.put("image", image).put("fills", true);
                }
            }
            if (i > 0) {
                step.putArray("after").add(i - 1);
            }
        }
        return Json.text(root.put("spec", Json.text(payload)));
    }

    /** Reads the need and the run time of a task from the payload that its worker got. */
    static Stage stage(String payload, int step) {
        JsonNode node = Json.parse(payload).path("steps").path(step);
        return new Stage(
                1, node.path("cpu").asInt(), Duration.ofMillis(node.path("ms").asLong()), load(node));
    }

    private static Load load(JsonNode need) {
        if (need.has("serving")) {
            return new Serving(need.path("serving").asText());
        }
        return need.has("filling") ? new Filling(need.path("filling").asText()) : new Plain();
    }
}
