package org.chestnutbarrow.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.peer.PeerMessage.CatalogSnapshot;
import org.chestnutbarrow.peer.PeerMessage.ConfirmPosition;
import org.chestnutbarrow.peer.PeerMessage.Failure;
import org.chestnutbarrow.peer.PeerMessage.FetchCatalog;
import org.chestnutbarrow.peer.PeerMessage.Position;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards what a daemon may conclude from the end of a call, over two links on loopback. */
public final class NettyPeerLinkTest {
    private static final DaemonId A = new DaemonId("a");
    private static final DaemonId B = new DaemonId("b");
    private static final Address ANY = Address.parse("127.0.0.1:0");
    private static final byte[] KEY = "a key that both daemons share".getBytes(StandardCharsets.UTF_8);
    private static final byte[] OTHER_KEY = "another key".getBytes(StandardCharsets.UTF_8);
    private static final Duration LONG = Duration.ofSeconds(60);
    private static final Duration SHORT = Duration.ofMillis(200);
    private static final long SEED = 20261204;

    private final List<NettyPeerLink> links = new ArrayList<>();
    private NettyPeerLink a;
    private NettyPeerLink b;
    private Recorder handler;

    /** Answers positions with themselves and blocks requests for the catalog until released. */
    private static final class Recorder implements PeerHandler {
        private final Queue<PeerMessage> received = new ConcurrentLinkedQueue<>();
        private final AtomicInteger requests = new AtomicInteger();
        private final CountDownLatch release = new CountDownLatch(1);
        private volatile boolean blocksMessages;

        @Override
        public PeerMessage answer(DaemonId from, PeerMessage request) throws Exception {
            requests.incrementAndGet();
            return switch (request) {
                case ConfirmPosition(long position) -> new Position(position);
                case FetchCatalog() -> {
                    release.await();
                    yield new CatalogSnapshot(0, new byte[0]);
                }
                case CatalogSnapshot(long position, byte[] _) ->
                    new CatalogSnapshot(position, new byte[PeerCodec.MAX_FRAME_BYTES]);
                default -> throw new IllegalStateException("cannot answer this");
            };
        }

        @Override
        public void receive(DaemonId from, PeerMessage message) {
            try {
                if (blocksMessages) {
                    release.await();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            received.add(message);
        }
    }

    @BeforeMethod
    void open() throws Exception {
        handler = new Recorder();
        a = start(A, ANY, KEY, new Recorder());
        b = start(B, ANY, KEY, handler);
        a.connect(B, b.address());
        b.connect(A, a.address());
    }

    @AfterMethod
    void close() {
        handler.release.countDown();
        links.forEach(NettyPeerLink::close);
        links.clear();
    }

    /** Guards against answers that reach another call than their own. */
    @Test
    void manyCallsGetTheirOwnAnswers() throws Exception {
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<PeerMessage>> answers = new ArrayList<>();
            for (int i = 0; i < OutgoingConnection.MAX_CALLS; i++) {
                ConfirmPosition request = new ConfirmPosition(i);
                answers.add(threads.submit(() -> a.call(B, request, LONG)));
            }
            for (int i = 0; i < answers.size(); i++) {
                assertEquals(answers.get(i).get(), new Position(i));
            }
        }
        assertTrue(a.bytesOut() > 0 && a.bytesOut() == b.bytesIn(), a.bytesOut() + " of " + b.bytesIn());
    }

    /** Guards against heartbeats and task changes that overtake one another. */
    @Test
    void messagesArriveInOrder() throws Exception {
        List<PeerMessage> sent = new ArrayList<>();
        for (int i = 0; i < 5000; i++) {
            sent.add(new Position(i));
            a.send(B, sent.getLast());
        }
        await(() -> handler.received.size() == sent.size());
        assertEquals(List.copyOf(handler.received), sent);
    }

    /** Guards against a connection that stays down after its peer has come back. */
    @Test
    void reconnectsAfterPeerRestarts() throws Exception {
        assertEquals(a.call(B, new ConfirmPosition(1), LONG), new Position(1));
        Address address = b.address();
        b.close();
        await(() -> !answers());
        b = start(B, address, KEY, handler);
        b.connect(A, a.address());
        await(this::answers);
    }

    /** Guards against a call reported as not run although its peer may have run it. */
    @Test
    void brokenConnectionLeavesWrittenCallUnknown() throws Exception {
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            Future<PeerMessage> call = threads.submit(() -> a.call(B, new FetchCatalog(), LONG));
            await(() -> handler.requests.get() == 1);
            b.close();
            ExecutionException failure = expectThrows(ExecutionException.class, call::get);
            assertEquals(failure.getCause().getClass(), OutcomeUnknownException.class);
        }
    }

    /** Guards against a late answer being taken for the answer to a later call. */
    @Test
    void lateAnswerIsDropped() throws Exception {
        assertEquals(a.call(B, new ConfirmPosition(0), LONG), new Position(0));
        assertThrows(OutcomeUnknownException.class, () -> a.call(B, new FetchCatalog(), SHORT));
        handler.release.countDown();
        for (int i = 1; i < 100; i++) {
            assertEquals(a.call(B, new ConfirmPosition(i), LONG), new Position(i));
        }
    }

    /** Guards against a handler's fault, or too long an answer, leaving the caller to wait. */
    @Test
    void faultBecomesFailure() throws Exception {
        assertEquals(a.call(B, new Position(1), LONG), new Failure("cannot answer this"));
        assertTrue(a.call(B, new CatalogSnapshot(1, new byte[0]), LONG) instanceof Failure);
        CatalogSnapshot tooLong = new CatalogSnapshot(1, new byte[PeerCodec.MAX_FRAME_BYTES]);
        assertThrows(NotRunException.class, () -> a.call(B, tooLong, LONG));
    }

    /** Guards against messages from, or to, a process that does not know the key. */
    @Test
    void otherKeyIsRefused() throws Exception {
        NettyPeerLink stranger = start(A, ANY, OTHER_KEY, new Recorder());
        stranger.connect(B, b.address());
        assertThrows(NotRunException.class, () -> stranger.call(B, new ConfirmPosition(1), LONG));
        assertEquals(handler.requests.get(), 0);
    }

    /** Guards against messages from a daemon that is not configured, and to one that has another's address. */
    @Test
    void unknownPeersAreRefused() throws Exception {
        NettyPeerLink unknown = start(new DaemonId("c"), ANY, KEY, new Recorder());
        unknown.connect(B, b.address());
        assertThrows(NotRunException.class, () -> unknown.call(B, new ConfirmPosition(1), LONG));
        a.connect(new DaemonId("c"), b.address());
        assertThrows(NotRunException.class, () -> a.call(new DaemonId("c"), new ConfirmPosition(1), LONG));
        assertThrows(NotRunException.class, () -> a.call(new DaemonId("d"), new ConfirmPosition(1), LONG));
        assertEquals(handler.requests.get(), 0);
    }

    /** Guards against calls without bound to a peer that does not answer. */
    @Test
    void furtherCallsFailAtOnce() throws Exception {
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; i < OutgoingConnection.MAX_CALLS; i++) {
                threads.submit(() -> a.call(B, new FetchCatalog(), LONG));
            }
            await(() -> handler.requests.get() == OutgoingConnection.MAX_CALLS);
            assertThrows(NotRunException.class, () -> a.call(B, new ConfirmPosition(1), LONG));
            handler.release.countDown();
        }
        assertEquals(a.call(B, new ConfirmPosition(1), LONG), new Position(1));
    }

    /** Guards against memory taken without bound for a peer that does not read, and against a stall after that. */
    @Test
    void furtherBytesAreDropped() throws Exception {
        handler.blocksMessages = true;
        CatalogSnapshot large = new CatalogSnapshot(1, new byte[1024 * 1024]);
        int sent = 200;
        for (int i = 0; i < sent; i++) {
            a.send(B, large);
        }
        // The bounds of both sides allow 24 of them; the rest is room for the buffers of the system.
        assertTrue(sent - a.dropped() < 64, a.dropped() + " of " + sent + " were dropped");
        await(() -> {
            a.send(B, large);
            return refused(large);
        });
        handler.release.countDown();
        await(this::answers);
    }

    /** Guards against bytes from a stranger that do more than close their own connection. */
    @Test
    void noiseClosesItsConnectionOnly() throws Exception {
        Random random = new Random(SEED);
        for (int i = 0; i < 100; i++) {
            byte[] noise = new byte[6 + random.nextInt(100)];
            random.nextBytes(noise);
            if (i % 2 == 0) {
                // A length that fits, so that the frame itself is read.
                ByteBuffer.wrap(noise).putInt(Math.max(1, noise.length - Integer.BYTES - 1));
            }
            assertTrue(closes(noise), "seed " + SEED + " connection " + i);
        }
        byte[] request = PeerCodec.encode(1, new ConfirmPosition(1));
        assertTrue(closes(framed(request)), "a message without a handshake is refused");
        assertEquals(handler.requests.get(), 0);
        assertTrue(answers());
    }

    /** Guards against a peer that skips or forges its proof; the same steps with the right key are accepted. */
    @Test
    void forgedProofIsRefused() throws Exception {
        assertEquals(answerAfterProof(new Handshake(OTHER_KEY, A, 1)), -1);
        assertEquals(answerAfterProof(new Handshake(KEY, A, 1)), 0);
    }

    /** The first byte of the answer to a ping after the handshake, or -1 if the connection was closed. */
    private int answerAfterProof(Handshake prover) throws Exception {
        Handshake.Party self = prover.newParty();
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), b.address().port())) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            socket.getOutputStream().write(framed(prover.hello(self)));
            Handshake.Party other = new Handshake(KEY, A, 1).readChallenge(in.readNBytes(in.readInt()), self);
            socket.getOutputStream().write(framed(prover.proof(self, other)));
            socket.getOutputStream().write(framed(Frames.ping()));
            return in.read();
        } catch (SocketException e) {
            return -1;
        }
    }

    private static byte[] framed(byte[] frame) {
        return ByteBuffer.allocate(Integer.BYTES + frame.length)
                .putInt(frame.length)
                .put(frame)
                .array();
    }

    private boolean closes(byte[] bytes) throws IOException {
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), b.address().port())) {
            socket.setSoTimeout((int) LONG.toMillis());
            socket.getOutputStream().write(bytes);
            return socket.getInputStream().read() < 0;
        } catch (SocketException e) {
            return true;
        }
    }

    private boolean refused(PeerMessage request) {
        try {
            a.call(B, request, Duration.ofMillis(1));
            return false;
        } catch (NotRunException e) {
            return e.getMessage().contains("too many bytes");
        } catch (OutcomeUnknownException e) {
            return false;
        }
    }

    private boolean answers() {
        try {
            return a.call(B, new ConfirmPosition(3), LONG).equals(new Position(3));
        } catch (NotRunException | OutcomeUnknownException e) {
            return false;
        }
    }

    private NettyPeerLink start(DaemonId self, Address bind, byte[] key, PeerHandler with) throws Exception {
        NettyPeerLink link = NettyPeerLink.start(self, links.size(), bind, key, with);
        links.add(link);
        return link;
    }

    private static void await(Callable<Boolean> condition) throws Exception {
        long end = System.nanoTime() + LONG.toNanos();
        while (!condition.call()) {
            assertTrue(System.nanoTime() < end, "condition does not hold in time");
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }
}
