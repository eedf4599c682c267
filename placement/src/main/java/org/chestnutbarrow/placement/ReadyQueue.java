package org.chestnutbarrow.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.chestnutbarrow.model.JobId;

/**
 * Jobs with waiting tasks ordered by urgency, grouped by equivalence class. Not safe for use by several threads.
 *
 * <p>A class whose first job cannot be placed is skipped as a whole, so that the cost of a lookup is bounded by the
 * number of classes.
 */
final class ReadyQueue {
    private final Map<JobEntry.EquivalenceClass, TreeMap<QueueKey, JobEntry>> jobsByClass = new HashMap<>();

    /** Sort key: always-on jobs first, then by the latest start in milliseconds since the epoch, earliest first. */
    record QueueKey(boolean batch, long latestStart, JobId job) implements Comparable<QueueKey> {
        private static final Comparator<QueueKey> ORDER = Comparator.comparing(QueueKey::batch)
                .thenComparing(QueueKey::latestStart)
                .thenComparing(QueueKey::job);

        @Override
        public int compareTo(QueueKey other) {
            return ORDER.compare(this, other);
        }
    }

    void put(JobEntry job, QueueKey key) {
        remove(job);
        job.queueKey = key;
        jobsByClass
                .computeIfAbsent(job.equivalenceClass, equivalenceClass -> new TreeMap<>())
                .put(key, job);
    }

    void remove(JobEntry job) {
        TreeMap<QueueKey, JobEntry> jobs = jobsByClass.get(job.equivalenceClass);
        if (job.queueKey != null && jobs != null) {
            jobs.remove(job.queueKey);
            if (jobs.isEmpty()) {
                jobsByClass.remove(job.equivalenceClass);
            }
        }
        job.queueKey = null;
    }

    /** Returns the most urgent job whose class is not blocked; null if there is none. */
    JobEntry first(Set<JobEntry.EquivalenceClass> blocked) {
        JobEntry first = null;
        for (Map.Entry<JobEntry.EquivalenceClass, TreeMap<QueueKey, JobEntry>> entry : jobsByClass.entrySet()) {
            JobEntry job = entry.getValue().firstEntry().getValue();
            if (!blocked.contains(entry.getKey()) && (first == null || job.queueKey.compareTo(first.queueKey) < 0)) {
                first = job;
            }
        }
        return first;
    }

    void clear() {
        jobsByClass.clear();
    }
}
