package org.chestnutbarrow.catalog;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.chestnutbarrow.catalog.ApplyResult.ReceiptOutcome;
import org.chestnutbarrow.model.CheckpointId;
import org.chestnutbarrow.model.LogRecord;
import org.chestnutbarrow.model.TaskId;
import org.testng.annotations.Test;

/** Guards, over random record sequences, against diverging daemons and against effects that are undone or repeated. */
public class CatalogPropertyTest {
    private static final int SEEDS = 300;
    private static final int RECORDS_PER_SEED = 400;

    @Test
    public void snapshotPlusLaterRecordsResultInTheStateOfAllRecords() {
        for (long seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            int snapshotAt = random.nextInt(RECORDS_PER_SEED);
            Catalog complete = new Catalog();
            Catalog restored = new Catalog();
            RandomRecords records = new RandomRecords(seed);
            for (int i = 0; i < RECORDS_PER_SEED; i++) {
                if (i == snapshotAt) {
                    assertEquals(restored.restore(complete.snapshot()), snapshotAt > 0, "seed " + seed);
                }
                LogRecord record = records.next(complete);
                ApplyResult result = complete.apply(i, record);
                if (i >= snapshotAt) {
                    assertEquals(restored.apply(i, record), result, "seed " + seed + " record " + i);
                }
            }
            assertEquals(restored.snapshot(), complete.snapshot(), "seed " + seed + " snapshot at " + snapshotAt);
        }
    }

    @Test
    public void nothingTakesEffectTwiceAndTheStateNeverGoesBack() {
        for (long seed = 0; seed < SEEDS; seed++) {
            Catalog catalog = new Catalog();
            RandomRecords records = new RandomRecords(seed);
            Outcomes outcomes = new Outcomes();
            CatalogState previous = catalog.snapshot();
            for (int i = 0; i < RECORDS_PER_SEED; i++) {
                ApplyResult result = catalog.apply(i, records.next(catalog));
                outcomes.check(result, "seed " + seed + " record " + i);
                CatalogState state = catalog.snapshot();
                assertFalse(catalog.restore(previous), "an older snapshot was restored");
                previous = state;
            }
            assertEquals(catalog.snapshot(), previous, "an older snapshot changed the state");
        }
    }

    @Test
    public void concurrentSnapshotsAreStatesOfOnePosition() throws Exception {
        List<LogRecord> records = new ArrayList<>();
        List<CatalogState> states = new ArrayList<>();
        Catalog reference = new Catalog();
        RandomRecords source = new RandomRecords(1);
        for (int i = 0; i < RECORDS_PER_SEED; i++) {
            states.add(reference.snapshot());
            records.add(source.next(reference));
            reference.apply(i, records.get(i));
        }
        states.add(reference.snapshot());
        for (int repetition = 0; repetition < 50; repetition++) {
            Catalog catalog = new Catalog();
            Thread applier = Thread.ofPlatform().start(() -> {
                for (int i = 0; i < RECORDS_PER_SEED; i++) {
                    catalog.apply(i, records.get(i));
                }
            });
            while (applier.isAlive()) {
                CatalogState state = catalog.snapshot();
                assertEquals(state, states.get((int) state.position() + 1));
            }
            applier.join();
        }
    }

    /** The effects seen so far, which must not occur again. */
    private static final class Outcomes {
        private long version = -1;
        private final Set<String> claims = new HashSet<>();
        private final Set<String> receipts = new HashSet<>();
        private final Map<TaskId, List<CheckpointId>> usedCheckpoints = new HashMap<>();

        void check(ApplyResult result, String context) {
            switch (result) {
                case ApplyResult.ConfigurationReplaced replaced -> {
                    assertTrue(replaced.configuration().version() > version, context);
                    version = replaced.configuration().version();
                }
                case ApplyResult.ShardClaimAccepted accepted ->
                    assertTrue(
                            claims.add(accepted.shard() + "/" + accepted.claim().epoch()),
                            context + ": epoch claimed twice");
                case ApplyResult.ReceiptsChecked checked ->
                    checked.outcomes().forEach(outcome -> {
                        if (outcome instanceof ReceiptOutcome.Accepted first) {
                            assertTrue(receipts.add(first.requestId()), context + ": request accepted twice");
                        }
                    });
                case ApplyResult.JobAdded added ->
                    usedCheckpoints
                            .keySet()
                            .removeIf(task -> task.job().equals(added.job().id()));
                case ApplyResult.TasksRecorded recorded ->
                    recorded.ends()
                            .forEach(end -> end.checkpoint().ifPresent(id -> {
                                var used = usedCheckpoints.computeIfAbsent(end.task(), task -> new ArrayList<>());
                                assertFalse(used.contains(id), context + ": checkpoint used twice");
                                used.add(id);
                            }));
                case ApplyResult.ConfigurationConflict conflict ->
                    assertTrue(conflict.conflictingChange().version() <= version, context);
                case ApplyResult.JobAlreadyExists existing -> {}
                case ApplyResult.JobsCancelled cancelled -> {}
                case ApplyResult.ShardClaimRejected rejected -> {}
                case ApplyResult.SnapshotRecorded snapshot -> {}
                case ApplyResult.NoEffect none -> {}
            }
        }
    }
}
