package org.chestnutbarrow.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the encoding of messages: round trips are lossless, and malformed input is rejected safely. */
public final class PeerCodecTest {
    private static final long SEED = 20261204;
    private static final int FUZZED_FRAMES = 50_000;
    private static final long MAX_ALLOCATED_BYTES = 1024 * 1024;

    /** Guards against fields that are lost, swapped or altered by encoding and decoding. */
    @Test
    void everyMessageSurvivesRoundTrip() throws Exception {
        Set<Class<?>> seen = new HashSet<>();
        for (PeerMessage message : SampleMessages.ALL) {
            PeerCodec.Frame frame = PeerCodec.decode(PeerCodec.encode(42, message));
            assertEquals(frame.correlationId(), 42);
            assertEquals(frame.message().getClass(), message.getClass());
            for (RecordComponent component : message.getClass().getRecordComponents()) {
                component.getAccessor().setAccessible(true);
                Object sent = component.getAccessor().invoke(message);
                Object received = component.getAccessor().invoke(frame.message());
                assertTrue(equalValues(sent, received), component + " of " + message);
            }
            seen.add(message.getClass());
        }
        Set<Class<?>> messages = new HashSet<>(Arrays.asList(PeerMessage.class.getPermittedSubclasses()));
        assertEquals(seen, messages, "every message type must have a sample");
    }

    /**
     * Guards against exceptions other than {@link FrameException}, which closes the connection, on malformed frames.
     */
    @Test
    void mutatedFramesAreDecodedOrRejected() {
        Random random = new Random(SEED);
        int rejected = 0;
        for (int i = 0; i < FUZZED_FRAMES; i++) {
            PeerMessage message = SampleMessages.ALL.get(random.nextInt(SampleMessages.ALL.size()));
            byte[] frame = mutate(PeerCodec.encode(random.nextLong(), message), random);
            try {
                PeerCodec.decode(frame);
            } catch (FrameException e) {
                rejected++;
            } catch (RuntimeException e) {
                throw new AssertionError("seed " + SEED + " frame " + i + " " + message, e);
            }
        }
        assertTrue(rejected > FUZZED_FRAMES / 10, "only " + rejected + " frames were rejected");
    }

    @DataProvider
    Object[][] malformedFrames() {
        return new Object[][] {
            {"array of 2^31 - 1", bytes(0xdd, 0x7f, 0xff, 0xff, 0xff)},
            {"text of 2^31 - 1", bytes(0x93, 23, 0, 0xdb, 0x7f, 0xff, 0xff, 0xff)},
            {"text of 2^32 - 1", bytes(0x93, 23, 0, 0xdb, 0xff, 0xff, 0xff, 0xff)},
            {"binary of 2^31 - 1", bytes(0x94, 20, 0, 1, 0xc6, 0x7f, 0xff, 0xff, 0xff)},
            {"list of 2^31 - 1", bytes(0x94, 16, 0, 0xa1, 'w', 0xdd, 0x7f, 0xff, 0xff, 0xff)},
            {"map instead of list", bytes(0x94, 16, 0, 0xa1, 'w', 0xdf, 0x7f, 0xff, 0xff, 0xff)},
            {"list of more than the frame", bytes(0x94, 16, 0, 0xa1, 'w', 0x93, 0xc0, 0xc0)},
            {"unknown type", bytes(0x92, 99, 0)},
            {"type of the handshake", bytes(0x92, 1, 0)},
            {"missing field", bytes(0x92, 21, 0)},
            {"bytes after the message", bytes(0x93, 21, 0, 1, 0xc0)},
            {"text instead of number", bytes(0x93, 21, 0, 0xa1, 'w')},
            {"number above 2^63", bytes(0x93, 21, 0, 0xcf, 0xff, 0, 0, 0, 0, 0, 0, 0)},
            {"text that is not UTF-8", bytes(0x93, 23, 0, 0xa1, 0xff)},
            {"empty", bytes()},
            {"deep nesting", deeplyNestedArrays()},
        };
    }

    /** Guards against excessive allocation or a stack overflow caused by a length or depth declared in the input. */
    @Test(dataProvider = "malformedFrames")
    void declaredSizesDoNotCauseAllocation(String name, byte[] frame) {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = threads.getCurrentThreadAllocatedBytes();
        assertThrows(FrameException.class, () -> PeerCodec.decode(frame));
        long allocated = threads.getCurrentThreadAllocatedBytes() - before;
        assertTrue(allocated < MAX_ALLOCATED_BYTES, name + " allocated " + allocated + " bytes");
    }

    private static boolean equalValues(Object a, Object b) {
        return a instanceof byte[] bytes ? Arrays.equals(bytes, (byte[]) b) : a.equals(b);
    }

    private static byte[] mutate(byte[] frame, Random random) {
        return switch (random.nextInt(4)) {
            case 0 -> Arrays.copyOf(frame, random.nextInt(frame.length));
            case 1 -> Arrays.copyOf(frame, frame.length + 1 + random.nextInt(8));
            case 2 -> {
                byte[] garbage = new byte[random.nextInt(200)];
                random.nextBytes(garbage);
                yield garbage;
            }
            default -> {
                for (int flips = 1 + random.nextInt(4); flips > 0; flips--) {
                    frame[random.nextInt(Math.min(frame.length, 300))] = (byte) random.nextInt();
                }
                yield frame;
            }
        };
    }

    private static byte[] deeplyNestedArrays() {
        byte[] frame = new byte[100_000];
        Arrays.fill(frame, (byte) 0x91);
        return frame;
    }

    private static byte[] bytes(int... values) {
        byte[] result = new byte[values.length];
        for (int i = 0; i < values.length; i++) {
            result[i] = (byte) values[i];
        }
        return result;
    }

    /** Control case: well-formed frames of the same shape as the malformed ones are decoded. */
    @Test
    void wellFormedFramesAreDecoded() throws Exception {
        assertEquals(PeerCodec.decode(bytes(0x93, 21, 7, 5)).message(), new PeerMessage.ConfirmPosition(5));
        PeerMessage empty =
                PeerCodec.decode(bytes(0x94, 16, 0, 0xa1, 'w', 0x90)).message();
        assertEquals(((PeerMessage.TasksChanged) empty).tasks(), List.of());
    }
}
