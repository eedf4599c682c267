package org.chestnutbarrow.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.chestnutbarrow.model.Address;

/** Accepts connections on loopback and runs a script on each, so that tests control every byte of an answer. */
final class RawServer implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger requests = new AtomicInteger();

    /** What the server does on one connection, counted from 1. */
    interface Script {
        void run(Peer peer, int connection) throws Exception;
    }

    RawServer(Script script) throws IOException {
        Thread.ofVirtual().start(() -> accept(script));
    }

    Address address() {
        return new Address("127.0.0.1", listener.getLocalPort());
    }

    int connections() {
        return connections.get();
    }

    int requests() {
        return requests.get();
    }

    private void accept(Script script) {
        try {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                int number = connections.incrementAndGet();
                Thread.ofVirtual().start(() -> run(script, socket, number));
            }
        } catch (IOException e) {
            // The test has ended.
        }
    }

    private void run(Script script, Socket socket, int number) {
        try (socket) {
            script.run(new Peer(socket), number);
        } catch (Exception e) {
            // The client closed the connection, which the test checks from its own side.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    /** One accepted connection. */
    final class Peer {
        private final Socket socket;

        private Peer(Socket socket) {
            this.socket = socket;
        }

        /** Reads to the end of a request's head; false at the end of the connection. */
        boolean request() throws IOException {
            return readHead(socket.getInputStream()).endsWith("\r\n\r\n") && requests.incrementAndGet() > 0;
        }

        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        }

        void ok(String body) throws IOException {
            send("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        }
    }

    /** Bytes up to an empty line, or to the end of the stream. */
    static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        int next = 0;
        while (next >= 0 && head.indexOf("\r\n\r\n") < 0) {
            next = in.read();
            if (next >= 0) {
                head.append((char) next);
            }
        }
        return head.toString();
    }
}
