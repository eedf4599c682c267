package org.chestnutbarrow.soak;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.chestnutbarrow.model.Address;

/**
 * Two groups of misbehaving clients: one sends bodies that stop one byte short of their end and keeps the connections
 * open, the other sends requests ahead and reads no answer. Thread-safe; each connection has a thread of its own.
 */
final class Crowds implements AutoCloseable {
    private static final int CONNECTIONS_PER_NODE = 40;
    private static final int BODY_BYTES = 20_000;
    private static final int REQUESTS_AHEAD = 200;
    private static final Duration PAUSE = Duration.ofMillis(300);

    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();

    /** What a misbehaving client does. */
    private sealed interface Group {
        /** Sends a body of {@code bytes} without the last one. */
        record ShortBody(int bytes) implements Group {}

        /** Sends requests and reads no answer. */
        record SendsAhead(int requests) implements Group {}
    }

    private static final List<Group> GROUPS =
            List.of(new Group.ShortBody(BODY_BYTES), new Group.SendsAhead(REQUESTS_AHEAD));

    void start(List<NodeProcess> nodes) {
        for (NodeProcess node : nodes) {
            for (Group group : GROUPS) {
                for (int i = 0; i < CONNECTIONS_PER_NODE; i++) {
                    threads.submit(() -> run(group, node.apiAddress()));
                }
            }
        }
    }

    private static Void run(Group group, Address address) throws InterruptedException {
        while (true) {
            try (Socket socket = new Socket(address.ip(), address.port())) {
                OutputStream out = socket.getOutputStream();
                switch (group) {
                    case Group.ShortBody(int bytes) -> {
                        out.write(("POST " + ClientCalls.PREFIX + "crowd HTTP/1.1\r\nHost: " + address
                                        + "\r\nContent-Length: " + bytes + "\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                        out.write(new byte[bytes - 1]);
                        out.flush();
                        // Returns once the node has closed the connection.
                        socket.getInputStream().readAllBytes();
                    }
                    case Group.SendsAhead(int requests) -> {
                        byte[] request = ("GET " + ClientCalls.PREFIX + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII);
                        for (int i = 0; i < requests; i++) {
                            out.write(request);
                        }
                        out.flush();
                        Thread.sleep(PAUSE);
                    }
                }
            } catch (IOException e) {
                // The node is down or has closed the connection; the next one follows.
            }
            Thread.sleep(PAUSE);
        }
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }
}
