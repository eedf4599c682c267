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

/** Tests calls, one-way messages and the handshake between two links on the loopback interface. */
public final class NettyPeerLinkTest {
    private static final DaemonId A = new DaemonId("a");
    private static final DaemonId B = new DaemonId("b");
    private static final Address ANY_PORT = Address.parse("127.0.0.1:0");
    private static final byte[] KEY = "a key that both daemons share".getBytes(StandardCharsets.UTF_8);
    private static final byte[] OTHER_KEY = "another key".getBytes(StandardCharsets.UTF_8);
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(200);
    private static final long SEED = 20261204;

    private final List<NettyPeerLink> links = new ArrayList<>();
    private NettyPeerLink a;
    private NettyPeerLink b;
    private RecordingHandler handler;

    /** Echoes positions, and blocks catalog requests until released. */
    private static final class RecordingHandler implements PeerHandler {
        private final Queue<PeerMessage> received = new ConcurrentLinkedQueue<>();
        private final AtomicInteger requestCount = new AtomicInteger();
        private final CountDownLatch release = new CountDownLatch(1);
        private volatile boolean blockMessages;

        @Override
        public PeerMessage handle(DaemonId from, PeerMessage request) throws Exception {
            requestCount.incrementAndGet();
            return switch (request) {
                case ConfirmPosition(long position) -> new Position(position);
                case FetchCatalog() -> {
                    release.await();
                    yield new CatalogSnapshot(0, new byte[0]);
                }
                case CatalogSnapshot(long position, byte[] _) ->
                    new CatalogSnapshot(position, new byte[PeerCodec.MAX_FRAME_BYTES]);
                default -> throw new IllegalStateException("unsupported request");
            };
        }

        @Override
        public void receive(DaemonId from, PeerMessage message) {
            try {
                if (blockMessages) {
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
        handler = new RecordingHandler();
        a = start(A, ANY_PORT, KEY, new RecordingHandler());
        b = start(B, ANY_PORT, KEY, handler);
        a.connect(B, b.address());
        b.connect(A, a.address());
    }

    @AfterMethod
    void close() {
        handler.release.countDown();
        links.forEach(NettyPeerLink::close);
        links.clear();
    }

    /** Guards against a response that completes a different call. */
    @Test
    void concurrentCallsReceiveTheirOwnResponses() throws Exception {
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<PeerMessage>> responses = new ArrayList<>();
            for (int i = 0; i < OutgoingConnection.MAX_PENDING_CALLS; i++) {
                ConfirmPosition request = new ConfirmPosition(i);
                responses.add(threads.submit(() -> a.call(B, request, LONG_TIMEOUT)));
            }
            for (int i = 0; i < responses.size(); i++) {
                assertEquals(responses.get(i).get(), new Position(i));
            }
        }
        assertTrue(a.bytesSent() > 0 && a.bytesSent() == b.bytesReceived(), a.bytesSent() + " of " + b.bytesReceived());
    }

    /** Guards against reordering of heartbeats and task updates. */
    @Test
    void messagesArriveInOrder() throws Exception {
        List<PeerMessage> sent = new ArrayList<>();
        for (int i = 0; i < 5000; i++) {
            sent.add(new Position(i));
            a.send(B, sent.getLast());
        }
        awaitCondition(() -> handler.received.size() == sent.size());
        assertEquals(List.copyOf(handler.received), sent);
    }

    /** Guards against a connection that is not re-established after the peer has restarted. */
    @Test
    void reconnectsAfterPeerRestarts() throws Exception {
        assertEquals(a.call(B, new ConfirmPosition(1), LONG_TIMEOUT), new Position(1));
        Address address = b.address();
        b.close();
        awaitCondition(() -> !peerResponds());
        b = start(B, address, KEY, handler);
        b.connect(A, a.address());
        awaitCondition(this::peerResponds);
    }

    /** Guards against reporting a call as not run although the peer may have run it. */
    @Test
    void outcomeOfWrittenCallIsUnknownAfterDisconnect() throws Exception {
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            Future<PeerMessage> call = threads.submit(() -> a.call(B, new FetchCatalog(), LONG_TIMEOUT));
            awaitCondition(() -> handler.requestCount.get() == 1);
            b.close();
            ExecutionException failure = expectThrows(ExecutionException.class, call::get);
            assertEquals(failure.getCause().getClass(), OutcomeUnknownException.class);
        }
    }

    /** Guards against a late response that completes a later call. */
    @Test
    void lateResponseIsDropped() throws Exception {
        assertEquals(a.call(B, new ConfirmPosition(0), LONG_TIMEOUT), new Position(0));
        assertThrows(OutcomeUnknownException.class, () -> a.call(B, new FetchCatalog(), SHORT_TIMEOUT));
        handler.release.countDown();
        for (int i = 1; i < 100; i++) {
            assertEquals(a.call(B, new ConfirmPosition(i), LONG_TIMEOUT), new Position(i));
        }
    }

    /** Guards against callers that wait in vain after the handler has failed or returned an oversized response. */
    @Test
    void handlerExceptionIsReportedAsFailure() throws Exception {
        assertEquals(a.call(B, new Position(1), LONG_TIMEOUT), new Failure("unsupported request"));
        assertTrue(a.call(B, new CatalogSnapshot(1, new byte[0]), LONG_TIMEOUT) instanceof Failure);
        CatalogSnapshot tooLong = new CatalogSnapshot(1, new byte[PeerCodec.MAX_FRAME_BYTES]);
        assertThrows(NotRunException.class, () -> a.call(B, tooLong, LONG_TIMEOUT));
    }

    /** Guards against exchanging messages with a process that does not know the key. */
    @Test
    void wrongKeyIsRejected() throws Exception {
        NettyPeerLink impostor = start(A, ANY_PORT, OTHER_KEY, new RecordingHandler());
        impostor.connect(B, b.address());
        assertThrows(NotRunException.class, () -> impostor.call(B, new ConfirmPosition(1), LONG_TIMEOUT));
        assertEquals(handler.requestCount.get(), 0);
    }

    /** Guards against messages from a daemon that is not configured, or to a daemon other than the intended one. */
    @Test
    void unknownPeersAreRejected() throws Exception {
        NettyPeerLink unknown = start(new DaemonId("c"), ANY_PORT, KEY, new RecordingHandler());
        unknown.connect(B, b.address());
        assertThrows(NotRunException.class, () -> unknown.call(B, new ConfirmPosition(1), LONG_TIMEOUT));
        a.connect(new DaemonId("c"), b.address());
        assertThrows(NotRunException.class, () -> a.call(new DaemonId("c"), new ConfirmPosition(1), LONG_TIMEOUT));
        assertThrows(NotRunException.class, () -> a.call(new DaemonId("d"), new ConfirmPosition(1), LONG_TIMEOUT));
        assertEquals(handler.requestCount.get(), 0);
    }

    /** Guards against an unbounded number of calls to a peer that does not respond. */
    @Test
    void excessCallsFailImmediately() throws Exception {
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; i < OutgoingConnection.MAX_PENDING_CALLS; i++) {
                threads.submit(() -> a.call(B, new FetchCatalog(), LONG_TIMEOUT));
            }
            awaitCondition(() -> handler.requestCount.get() == OutgoingConnection.MAX_PENDING_CALLS);
            assertThrows(NotRunException.class, () -> a.call(B, new ConfirmPosition(1), LONG_TIMEOUT));
            handler.release.countDown();
        }
        assertEquals(a.call(B, new ConfirmPosition(1), LONG_TIMEOUT), new Position(1));
    }

    /** Guards against unbounded buffering for a peer that does not read, and against a stall afterwards. */
    @Test
    void excessMessagesAreDropped() throws Exception {
        handler.blockMessages = true;
        CatalogSnapshot large = new CatalogSnapshot(1, new byte[1024 * 1024]);
        int sent = 200;
        for (int i = 0; i < sent; i++) {
            a.send(B, large);
        }
        // The limits of both sides admit 24 messages; the remaining 40 allow for socket buffers.
        assertTrue(sent - a.messagesDropped() < 64, a.messagesDropped() + " of " + sent + " were dropped");
        awaitCondition(() -> {
            a.send(B, large);
            return isRejectedForSize(large);
        });
        handler.release.countDown();
        awaitCondition(this::peerResponds);
    }

    /** Guards against malformed input that affects more than its own connection. */
    @Test
    void malformedInputClosesOnlyItsConnection() throws Exception {
        Random random = new Random(SEED);
        for (int i = 0; i < 100; i++) {
            byte[] garbage = new byte[6 + random.nextInt(100)];
            random.nextBytes(garbage);
            if (i % 2 == 0) {
                // Use a valid length prefix, so that the frame itself is decoded.
                ByteBuffer.wrap(garbage).putInt(Math.max(1, garbage.length - Integer.BYTES - 1));
            }
            assertTrue(closesConnection(garbage), "seed " + SEED + " connection " + i);
        }
        byte[] request = PeerCodec.encode(1, new ConfirmPosition(1));
        assertTrue(closesConnection(withLength(request)), "a message without a handshake must be rejected");
        assertEquals(handler.requestCount.get(), 0);
        assertTrue(peerResponds());
    }

    /** Guards against a peer that forges its proof; the same steps with the correct key must succeed. */
    @Test
    void forgedProofIsRejected() throws Exception {
        assertEquals(firstByteAfterHandshake(new Handshake(OTHER_KEY, A, 1)), -1);
        assertEquals(firstByteAfterHandshake(new Handshake(KEY, A, 1)), 0);
    }

    /** Returns the first byte of the response to a ping after the handshake, or -1 if the connection was closed. */
    private int firstByteAfterHandshake(Handshake client) throws Exception {
        Handshake.Party self = client.newParty();
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), b.address().port())) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            socket.getOutputStream().write(withLength(client.hello(self)));
            Handshake.Party accepting = new Handshake(KEY, A, 1).readChallenge(in.readNBytes(in.readInt()), self);
            socket.getOutputStream().write(withLength(client.proof(self, accepting)));
            socket.getOutputStream().write(withLength(Frames.ping()));
            return in.read();
        } catch (SocketException e) {
            return -1;
        }
    }

    private static byte[] withLength(byte[] frame) {
        return ByteBuffer.allocate(Integer.BYTES + frame.length)
                .putInt(frame.length)
                .put(frame)
                .array();
    }

    private boolean closesConnection(byte[] bytes) throws IOException {
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), b.address().port())) {
            socket.setSoTimeout((int) LONG_TIMEOUT.toMillis());
            socket.getOutputStream().write(bytes);
            return socket.getInputStream().read() < 0;
        } catch (SocketException e) {
            return true;
        }
    }

    private boolean isRejectedForSize(PeerMessage request) {
        try {
            a.call(B, request, Duration.ofMillis(1));
            return false;
        } catch (NotRunException e) {
            return e.getMessage().contains("too many bytes");
        } catch (OutcomeUnknownException e) {
            return false;
        }
    }

    private boolean peerResponds() {
        try {
            return a.call(B, new ConfirmPosition(3), LONG_TIMEOUT).equals(new Position(3));
        } catch (NotRunException | OutcomeUnknownException e) {
            return false;
        }
    }

    private NettyPeerLink start(DaemonId self, Address bind, byte[] key, PeerHandler peerHandler) throws Exception {
        NettyPeerLink link = NettyPeerLink.start(self, links.size(), bind, key, peerHandler);
        links.add(link);
        return link;
    }

    private static void awaitCondition(Callable<Boolean> condition) throws Exception {
        long deadline = System.nanoTime() + LONG_TIMEOUT.toNanos();
        while (!condition.call()) {
            assertTrue(System.nanoTime() < deadline, "condition was not met in time");
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }
}
