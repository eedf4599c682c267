package org.chestnutbarrow.node;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.chestnutbarrow.batch.TaskRecord.WorkerIncarnation;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.StaleEpochException;
import org.chestnutbarrow.model.UnstorableException;

/**
 * Stores the progress of one term of ownership under its epoch. Appends are made by one thread at a time; the other
 * methods are safe for use by several threads.
 *
 * <p>Invariant: nothing is stored once a newer owner has stored its record.
 */
final class TermStorage {
    /** Writer name under which all owners append progress; the epoch of the writer is the fencing token. */
    private static final String WRITER = "owner";

    private static final Duration RETRY_DELAY = Duration.ofMillis(100);
    private static final int RELAY_KEY_BYTES = 32;

    /** The outcome of {@link #store}. */
    sealed interface Result {}

    /**
     * All entries are stored except those that the store refuses for good.
     *
     * @param unstorable keys of the entries that are not stored
     */
    record Stored(Set<String> unstorable) implements Result {
        Stored {
            unstorable = Set.copyOf(unstorable);
        }
    }

    /** The term has ended; some entries may be stored. */
    record TermEnded() implements Result {}

    private final long token;
    private final StateStore store;
    private final JobReplica replica;
    private final PermissionTime time;
    private final SequencedWriter writer;
    private final OwnershipConfirmation confirmation;
    /** The owner's record under a new member id, until it is stored; accessed by several threads. */
    private volatile Optional<OwnerRecord> dueRecord = Optional.empty();
    /** The record stored last; written before the term starts and then by the planning thread. */
    private volatile Optional<OwnerRecord> storedRecord = Optional.empty();
    /** Remaining leases from the closed term of the predecessor; written before the term starts. */
    private volatile Map<WorkerIncarnation, Duration> inheritedLeases = Map.of();
    /** When the write that waits for its confirmation began, ns; empty if there is none. */
    private volatile OptionalLong writingSince = OptionalLong.empty();

    TermStorage(long token, StateStore store, JobReplica replica, PermissionTime time) {
        this.token = token;
        this.store = store;
        this.replica = replica;
        this.time = time;
        this.writer = new SequencedWriter(store, StateStore.Topic.PROGRESS, WRITER, token);
        this.confirmation = new OwnershipConfirmation(store, new StateStore.Writer(WRITER, token, 0), time);
    }

    /** Returns the time since the store confirmed this term. */
    Duration confirmationAge() {
        return confirmation.age();
    }

    /** Returns for how long a write has been waiting for its confirmation; zero if there is none. */
    Duration writeAge() {
        OptionalLong since = writingSince;
        return since.isEmpty() ? Duration.ZERO : Duration.ofNanos(time.nanos() - since.getAsLong());
    }

    /** Requests that the owner is recorded under another member id of its node. */
    void changeMember(String member) {
        dueRecord = storedRecord.map(stored -> new OwnerRecord(member, token, stored.relayKey()));
    }

    /** Returns the owner's record under another member id that is not stored yet. */
    Optional<OwnerRecord> dueRecord() {
        return dueRecord;
    }

    /** Returns the lease time that was left when the term of the direct predecessor was closed; empty if it was not. */
    Map<WorkerIncarnation, Duration> inheritedLeases() {
        return inheritedLeases;
    }

    /** Returns the owner's record of a term that has ended the extension of leases. */
    Optional<OwnerRecord> closingRecord(Map<WorkerIncarnation, Duration> remainingLeases) {
        int maxBytes = store.limits().maxValueBytes(JobReplica.OWNER_KEY);
        return storedRecord.map(stored -> stored.closed(remainingLeases).fitting(maxBytes));
    }

    /** Notes that an owner's record is stored. */
    void recordStored(OwnerRecord stored) {
        storedRecord = Optional.of(stored);
        if (dueRecord.equals(storedRecord)) {
            dueRecord = Optional.empty();
        }
    }

    /** Records that the store confirmed this term in a call sent at {@code sentAt}, ns of the permission time. */
    void confirmed(long sentAt) {
        confirmation.confirmed(sentAt);
    }

    /**
     * Keeps the term confirmed while {@code active} is true.
     *
     * @throws StaleEpochException if a newer owner exists
     */
    void keepConfirmed(BooleanSupplier active) throws StaleEpochException {
        confirmation.run(active);
    }

    /**
     * Records this owner in the store, which fences earlier owners, and then reads the progress that they stored.
     *
     * @throws StaleEpochException if another owner is recorded in the store
     */
    void fenceEarlierOwners(String member, TopicFollower progress)
            throws NotRunException, OutcomeUnknownException, StaleEpochException, UnstorableException {
        OwnerRecord self = new OwnerRecord(member, token, newRelayKey());
        writer.append(List.of(JobReplica.ownerEntry(self)), () -> false);
        progress.catchUp();
        storedRecord = Optional.of(self);
        // If two owners share a token, the store takes the first append of the second for a retry and reports success.
        OwnerChange change = replica.ownerChange();
        Optional<OwnerRecord> owner = change.current();
        if (!owner.equals(Optional.of(self))) {
            throw new StaleEpochException(
                    "owner " + owner.map(OwnerRecord::member).orElse("unknown"),
                    owner.map(OwnerRecord::token).orElse(token));
        }
        // Only the owner that stored the replaced record has extended leases since the one before.
        inheritedLeases = change.replaced().map(OwnerRecord::remainingLeases).orElse(Map.of());
    }

    private static String newRelayKey() {
        byte[] key = new byte[RELAY_KEY_BYTES];
        new SecureRandom().nextBytes(key);
        return Base64.getEncoder().encodeToString(key);
    }

    /**
     * Stores entries; retries until the store has confirmed them or {@code active} becomes false. An entry that the store
     * refuses for good is left out, so that it does not hold back the others.
     *
     * @throws StaleEpochException if a newer owner exists
     */
    Result store(List<StateStore.Entry> entries, BooleanSupplier active) throws StaleEpochException {
        Set<String> unstorable = new HashSet<>();
        for (List<StateStore.Entry> batch : writer.chunks(entries)) {
            if (!storeBatch(batch, active, unstorable)) {
                return new TermEnded();
            }
        }
        return new Stored(unstorable);
    }

    /** Stores a batch and adds the keys that cannot be stored; returns whether the term has not ended. */
    private boolean storeBatch(List<StateStore.Entry> entries, BooleanSupplier active, Set<String> unstorable)
            throws StaleEpochException {
        try {
            return timedBatch(entries, active);
        } catch (UnstorableException e) {
            if (entries.size() == 1) {
                SequencedWriter.logUnstorable(entries.getFirst(), e);
                unstorable.add(entries.getFirst().key());
                return true;
            }
        }
        for (List<StateStore.Entry> half : SequencedWriter.halves(entries)) {
            if (!storeBatch(half, active, unstorable)) {
                return false;
            }
        }
        return true;
    }

    private boolean timedBatch(List<StateStore.Entry> entries, BooleanSupplier active)
            throws StaleEpochException, UnstorableException {
        writingSince = OptionalLong.of(time.nanos());
        try {
            return retryBatch(entries, active);
        } finally {
            writingSince = OptionalLong.empty();
        }
    }

    private boolean retryBatch(List<StateStore.Entry> entries, BooleanSupplier active)
            throws StaleEpochException, UnstorableException {
        while (active.getAsBoolean()) {
            try {
                long sentAt = time.nanos();
                long offset = writer.append(entries, active);
                confirmed(sentAt);
                replica.applyStored(entries, offset);
                return true;
            } catch (NotRunException e) {
                Events.warn("progress-delayed", "entries", entries.size(), "cause", e.getMessage());
                Threads.sleep(RETRY_DELAY);
            } catch (OutcomeUnknownException e) {
                Events.warn("progress-unknown", "entries", entries.size(), "cause", e.getMessage());
            }
        }
        return false;
    }
}
