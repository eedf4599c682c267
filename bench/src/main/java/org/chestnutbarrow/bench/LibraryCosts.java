package org.chestnutbarrow.bench;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.catalog.Catalog;
import org.chestnutbarrow.catalog.CatalogState;
import org.chestnutbarrow.format.LogRecords;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.Job;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.LogRecord;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.peer.NettyPeerLink;
import org.chestnutbarrow.peer.PeerHandler;
import org.chestnutbarrow.peer.PeerMessage;

/** Measures parts of a daemon alone, by calling them in a loop in this JVM. Used by one thread. */
final class LibraryCosts {
    /** Repetitions before the one that counts, so that the code is compiled. */
    private static final int WARM_UPS = 3;

    private static final int[] JOBS = {1_000, 5_000, 20_000, 59_000};
    private static final int[] RECEIPTS = {1_000, 10_000, 30_000, 100_000};
    private static final int[] WORKERS = {100, 500, 1_500, 5_000, 11_000};
    private static final int RECEIPTS_IN_RECORD = 1_000;
    private static final Instant START = Instant.parse("2026-12-04T00:00:00Z");
    private static final Resources ROOM = new Resources(8, 64, 63_500, 249_936, 1);
    private static final DaemonId SENDER = new DaemonId("entry-1");
    private static final DaemonId RECEIVER = new DaemonId("entry-2");

    private final PrintStream out;
    private final LogRecords records = new LogRecords();

    LibraryCosts(PrintStream out) {
        this.out = out;
    }

    List<Series> measure() {
        List<Series> all = new ArrayList<>();
        all.addAll(catalog("jobs in catalog", JOBS, LibraryCosts::jobs));
        all.addAll(catalog("receipts in catalog", RECEIPTS, LibraryCosts::receipts));
        try {
            all.add(heartbeats());
        } catch (InvalidInputException e) {
            throw new IllegalStateException(e);
        }
        return all;
    }

    /** Makes the records that fill a catalog. */
    @FunctionalInterface
    private interface Filling {
        List<LogRecord> records(int size);
    }

    private List<Series> catalog(String axis, int[] sizes, Filling filling) {
        List<Line.Point> apply = new ArrayList<>();
        List<Line.Point> bytes = new ArrayList<>();
        List<Line.Point> snapshot = new ArrayList<>();
        List<Line.Point> restore = new ArrayList<>();
        for (int size : sizes) {
            List<LogRecord> input = filling.records(size);
            Costs costs = costs(input);
            for (int i = 0; i < WARM_UPS; i++) {
                costs = costs(input);
            }
            apply.add(new Line.Point(size, costs.applyMillis));
            bytes.add(new Line.Point(size, costs.snapshotBytes));
            snapshot.add(new Line.Point(size, costs.snapshotMillis));
            restore.add(new Line.Point(size, costs.restoreMillis));
            out.println(axis + " " + size + ": " + costs);
        }
        return List.of(
                new Series(axis, "apply ms", apply),
                new Series(axis, "snapshot bytes", bytes),
                new Series(axis, "snapshot ms", snapshot),
                new Series(axis, "restore ms", restore));
    }

    private record Costs(double applyMillis, double snapshotBytes, double snapshotMillis, double restoreMillis) {}

    private Costs costs(List<LogRecord> input) {
        Catalog catalog = new Catalog();
        long start = System.nanoTime();
        for (int i = 0; i < input.size(); i++) {
            catalog.apply(i, input.get(i));
        }
        long applied = System.nanoTime();
        LogRecord.Snapshot snapshot = records.snapshot(catalog.snapshot());
        long packed = System.nanoTime();
        restore(snapshot);
        long restored = System.nanoTime();
        return new Costs(
                (applied - start) / 1e6, snapshot.state().length, (packed - applied) / 1e6, (restored - packed) / 1e6);
    }

    private void restore(LogRecord.Snapshot snapshot) {
        try {
            CatalogState state = records.state(snapshot);
            new Catalog().restore(state);
        } catch (InvalidInputException e) {
            throw new IllegalStateException(e);
        }
    }

    private static List<LogRecord> jobs(int count) {
        List<LogRecord> jobs = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            JobId id = new JobId("reconcile-2026-12-04-" + Integer.toHexString(i * 0x9E3779B1));
            jobs.add(new LogRecord.JobAccepted(new Job(
                    id,
                    "season-reconcile",
                    "team-" + i % 350,
                    10,
                    new Resources(0, 0, 2_000, 4_096, 0),
                    Duration.ofMinutes(5),
                    Optional.of(START.plusSeconds(30_000)),
                    START.plusMillis(i))));
        }
        return jobs;
    }

    private static List<LogRecord> receipts(int count) {
        List<LogRecord> made = new ArrayList<>();
        for (int from = 0; from < count; from += RECEIPTS_IN_RECORD) {
            List<LogRecord.Receipt> group = new ArrayList<>();
            for (int i = from; i < Math.min(count, from + RECEIPTS_IN_RECORD); i++) {
                Instant taken = START.plusMillis(i);
                String id = taken.toEpochMilli() + "-" + Long.toHexString(i * 0x9E3779B97F4A7C15L);
                group.add(new LogRecord.Receipt(id, taken));
            }
            made.add(new LogRecord.ReceiptsMade(SENDER, 1, group));
        }
        return made;
    }

    /** Counts a heartbeat's bytes at the link between two daemons. */
    private Series heartbeats() throws InvalidInputException {
        byte[] key = "a key for this run only".getBytes(StandardCharsets.UTF_8);
        Address any = Address.parse("127.0.0.1:0");
        List<Line.Point> bytes = new ArrayList<>();
        try (NettyPeerLink receiver = NettyPeerLink.start(RECEIVER, 1, any, key, new Ignoring());
                NettyPeerLink sender = NettyPeerLink.start(SENDER, 1, any, key, new Ignoring())) {
            receiver.connect(SENDER, sender.address());
            sender.connect(RECEIVER, receiver.address());
            exchange(sender, 1);
            for (int workers : WORKERS) {
                long before = sender.bytesSent();
                exchange(sender, workers);
                bytes.add(new Line.Point(workers, (double) (sender.bytesSent() - before)));
                out.println("heartbeat with " + workers + " workers: " + (sender.bytesSent() - before) + " bytes");
            }
        }
        return new Series("workers in heartbeat", "heartbeat bytes", bytes);
    }

    private static void exchange(NettyPeerLink sender, int workers) {
        List<PeerMessage.WorkerCapacity> rooms = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            rooms.add(new PeerMessage.WorkerCapacity(new WorkerId("worker-" + (10_000 + i)), ROOM, i));
        }
        PeerMessage.Heartbeat heartbeat = new PeerMessage.Heartbeat(
                SENDER,
                1L << 56,
                false,
                1_000_000,
                Optional.of(Duration.ofMillis(200)),
                true,
                999_000,
                rooms,
                Set.of(),
                Map.of());
        try {
            sender.call(RECEIVER, heartbeat, Duration.ofSeconds(5));
        } catch (NotRunException | OutcomeUnknownException e) {
            throw new IllegalStateException("the heartbeat was not answered", e);
        }
    }

    /** Answers every message, so that a call returns once its bytes were received. */
    private static final class Ignoring implements PeerHandler {
        @Override
        public PeerMessage handle(DaemonId from, PeerMessage request) {
            return new PeerMessage.Position(0);
        }

        @Override
        public void receive(DaemonId from, PeerMessage message) {}
    }
}
