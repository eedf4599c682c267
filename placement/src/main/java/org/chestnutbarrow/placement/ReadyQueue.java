package org.chestnutbarrow.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.chestnutbarrow.model.JobId;

/**
 * Jobs with waiting tasks in the order of their slack, by group. Not safe for use by several threads.
 *
 * <p>A group whose first job cannot be placed is passed over whole, so a pass costs no more than the number of groups.
 */
final class ReadyQueue {
    private final Map<JobEntry.Group, TreeMap<Key, JobEntry>> groups = new HashMap<>();

    /** Order of jobs: always-on first, then the earliest latest start, in milliseconds since 1970. */
    record Key(boolean batch, long latestStart, JobId job) implements Comparable<Key> {
        private static final Comparator<Key> ORDER =
                Comparator.comparing(Key::batch).thenComparing(Key::latestStart).thenComparing(Key::job);

        @Override
        public int compareTo(Key other) {
            return ORDER.compare(this, other);
        }
    }

    void put(JobEntry job, Key key) {
        remove(job);
        job.key = key;
        groups.computeIfAbsent(job.group, group -> new TreeMap<>()).put(key, job);
    }

    void remove(JobEntry job) {
        TreeMap<Key, JobEntry> jobs = groups.get(job.group);
        if (job.key != null && jobs != null) {
            jobs.remove(job.key);
            if (jobs.isEmpty()) {
                groups.remove(job.group);
            }
        }
        job.key = null;
    }

    /** The most urgent job of a group that is not blocked; null if there is none. */
    JobEntry first(Set<JobEntry.Group> blocked) {
        JobEntry first = null;
        for (Map.Entry<JobEntry.Group, TreeMap<Key, JobEntry>> group : groups.entrySet()) {
            JobEntry job = group.getValue().firstEntry().getValue();
            if (!blocked.contains(group.getKey()) && (first == null || job.key.compareTo(first.key) < 0)) {
                first = job;
            }
        }
        return first;
    }

    void clear() {
        groups.clear();
    }
}
