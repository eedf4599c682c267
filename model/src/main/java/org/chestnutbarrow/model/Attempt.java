package org.chestnutbarrow.model;

/**
 * Identifies one execution of a task. Attempts of a task are totally ordered, first by the epoch of the job shard's
 * claim and then by the sequence within that claim; a worker rejects an attempt older than one it has seen.
 *
 * @param epoch epoch of the shard claim under which it was issued, from 1
 * @param sequence counter within the epoch, from 1
 */
public record Attempt(long epoch, long sequence) implements Comparable<Attempt> {
    public Attempt {
        Checks.require(epoch >= 1, "attempt epoch starts at 1");
        Checks.require(sequence >= 1, "attempt sequence starts at 1");
    }

    @Override
    public int compareTo(Attempt other) {
        int byEpoch = Long.compare(epoch, other.epoch);
        return byEpoch != 0 ? byEpoch : Long.compare(sequence, other.sequence);
    }

    @Override
    public String toString() {
        return epoch + "." + sequence;
    }
}
