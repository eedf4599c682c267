package org.chestnutbarrow.batch;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/** One job in memory. Guarded by the lock of its {@link Cell}. */
final class JobEntry {
    final JobSpec spec;
    final List<List<TaskEntry>> steps = new ArrayList<>();
    JobState state = JobState.QUEUED;
    Instant changed = Instant.EPOCH;
    /** When it should be complete under the policy in force. */
    Instant due = Instant.MAX;
    /** Whether that time had passed when tasks were placed last. */
    boolean late;

    private final int[] open;

    JobEntry(JobSpec spec) {
        this.spec = spec;
        open = new int[spec.steps().size()];
        for (int s = 0; s < spec.steps().size(); s++) {
            Step step = spec.steps().get(s);
            List<TaskEntry> tasks = new ArrayList<>(step.count());
            for (int i = 0; i < step.count(); i++) {
                tasks.add(new TaskEntry(this, new TaskName(spec.id(), s, i), step));
            }
            steps.add(tasks);
            open[s] = step.count();
        }
    }

    /** Whether all tasks of the steps before this one have finished. */
    boolean ready(int step) {
        for (int before : spec.steps().get(step).after()) {
            if (open[before] > 0) {
                return false;
            }
        }
        return true;
    }

    /** Whether a task could be placed now. */
    boolean waits() {
        for (int s = 0; s < steps.size(); s++) {
            if (ready(s) && steps.get(s).stream().anyMatch(TaskEntry::waiting)) {
                return true;
            }
        }
        return false;
    }

    /** Tasks that have not finished. */
    int openTasks() {
        int sum = 0;
        for (int left : open) {
            sum += left;
        }
        return sum;
    }

    void finish(TaskEntry task) {
        if (!task.done) {
            task.done = true;
            open[task.name.step()]--;
        }
    }

    boolean allDone() {
        for (int left : open) {
            if (left > 0) {
                return false;
            }
        }
        return true;
    }

    void move(JobState to, Instant at) {
        state = to;
        changed = at;
    }

    JobProgress progress() {
        if (state.isFinal() && steps.stream().flatMap(List::stream).allMatch(t -> t.on == null)) {
            return new JobProgress(spec.id(), state, changed, List.of());
        }
        return new JobProgress(
                spec.id(),
                state,
                changed,
                steps.stream()
                        .map(tasks -> tasks.stream().map(TaskEntry::toRecord).toList())
                        .toList());
    }
}
