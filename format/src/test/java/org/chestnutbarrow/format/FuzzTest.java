package org.chestnutbarrow.format;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import java.io.ByteArrayOutputStream;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.TreeMap;
import java.util.zip.GZIPOutputStream;
import org.chestnutbarrow.catalog.Catalog;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.LogRecord;
import org.testng.annotations.Test;

/** Tests that all readers reject malformed input with a typed exception and bounded memory use. */
public class FuzzTest {
    private static final Path ROOT = Path.of(System.getProperty("chestnutbarrow.root"), "examples");
    private static final int ROUNDS = 1500;
    private static final Instant TIME = Instant.parse("2026-01-01T00:00:00Z");
    private static final String JOB =
            "{\"id\": \"j\", \"workClass\": \"season-reconcile\", \"tasks\": 5, \"demand\": {\"cores\": \"2 cores\"},"
                    + " \"runMs\": 5000, \"finishBy\": \"2026-12-04T05:30:00Z\"}";

    /** Reads bytes or rejects them with an exception. */
    private interface Reader {
        void read(byte[] data) throws InvalidInputException;
    }

    @Test
    public void rejectsCorruptDeclarations() throws Exception {
        byte[] valid = Files.readAllBytes(ROOT.resolve("hivatal/declarations.jsonc"));
        fuzz(1, valid, data -> DeclarationFile.read("f", data));
    }

    @Test
    public void rejectsCorruptSettings() throws Exception {
        fuzz(2, Files.readAllBytes(ROOT.resolve("daemon.jsonc")), data -> SettingsFile.read("f", data));
    }

    @Test
    public void rejectsCorruptJobs() throws Exception {
        byte[] declarations = Files.readAllBytes(ROOT.resolve("hivatal/declarations.jsonc"));
        Configuration configuration =
                new Configuration(0, "c", DeclarationFile.read("f", declarations), new TreeMap<>());
        fuzz(3, JOB.getBytes(java.nio.charset.StandardCharsets.UTF_8), data -> JobFile.read(data, configuration, TIME));
    }

    @Test
    public void skipsCorruptLogRecords() throws Exception {
        LogRecords records = new LogRecords();
        LogRecord claim = new LogRecord.ShardClaimed(3, 1, new org.chestnutbarrow.model.DaemonId("d1"), 7);
        LogRecord snapshot = records.snapshot(new Catalog().snapshot());
        for (LogRecord record : List.of(claim, snapshot)) {
            fuzz(4, records.encode("id-1", record), data -> decode(records, data));
        }
        assertTrue(records.unreadable() > ROUNDS / 2, "only " + records.unreadable() + " were unreadable");
    }

    private static void decode(LogRecords records, byte[] data) throws InvalidInputException {
        switch (records.decode(data)) {
            case LogRecords.Read(String _, LogRecord.Snapshot snapshot) -> records.state(snapshot);
            case LogRecords.Read read -> assertFalse(read.id().isEmpty());
            case LogRecords.Unreadable unreadable -> throw new InvalidInputException(unreadable.reason(), "skip it");
        }
    }

    @Test
    public void limitsMemoryOfHighlyCompressedSnapshot() throws Exception {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        byte[] blanks = " ".repeat(1024 * 1024).getBytes(java.nio.charset.StandardCharsets.US_ASCII);
        try (GZIPOutputStream compressed = new GZIPOutputStream(bytes)) {
            for (int i = 0; i < 512; i++) {
                compressed.write(blanks);
            }
        }
        assertTrue(bytes.size() < LogRecords.MAX_BYTES, "the snapshot fits into a log record");
        var threads = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = threads.getCurrentThreadAllocatedBytes();
        assertThrows(
                InvalidInputException.class,
                () -> new LogRecords().state(new LogRecord.Snapshot(0, bytes.toByteArray())));
        long allocated = threads.getCurrentThreadAllocatedBytes() - before;
        assertTrue(allocated < 256L * 1024 * 1024, "reading 512 MiB took " + allocated + " bytes");
    }

    private static void fuzz(long seed, byte[] valid, Reader reader) throws InvalidInputException {
        reader.read(valid);
        Mutations mutations = new Mutations(seed);
        int rejected = 0;
        for (int i = 0; i < ROUNDS; i++) {
            byte[] data = mutations.mutate(valid);
            try {
                reader.read(data);
            } catch (InvalidInputException e) {
                rejected++;
                assertFalse(e.getMessage().isBlank());
            } catch (RuntimeException | Error e) {
                fail("seed " + seed + " round " + i + ": " + e, e);
            }
        }
        assertTrue(rejected > ROUNDS / 4, "only " + rejected + " of " + ROUNDS + " were rejected");
    }
}
