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

/** A loopback server that runs a script on each connection, which lets tests control every byte of a response. */
final class ScriptedServer implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger requests = new AtomicInteger();

    /** The behaviour on one connection; connections are numbered from 1. */
    interface Script {
        void run(Connection connection, int number) throws Exception;
    }

    ScriptedServer(Script script) throws IOException {
        Thread.ofVirtual().start(() -> accept(script));
    }

    Address address() {
        return new Address("127.0.0.1", listener.getLocalPort());
    }

    int connectionCount() {
        return connections.get();
    }

    int requestCount() {
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
            // The listener was closed at the end of the test.
        }
    }

    private void run(Script script, Socket socket, int number) {
        try (socket) {
            script.run(new Connection(socket), number);
        } catch (Exception e) {
            // The client closed the connection, which the test asserts on its own side.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    /** An accepted connection. */
    final class Connection {
        private final Socket socket;

        private Connection(Socket socket) {
            this.socket = socket;
        }

        /** Reads to the end of a request head; returns false at the end of the stream. */
        boolean readRequest() throws IOException {
            return readHead(socket.getInputStream()).endsWith("\r\n\r\n") && requests.incrementAndGet() > 0;
        }

        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        }

        void sendOk(String body) throws IOException {
            send("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        }
    }

    /** Reads up to the first empty line or the end of the stream. */
    static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        int value = 0;
        while (value >= 0 && head.indexOf("\r\n\r\n") < 0) {
            value = in.read();
            if (value >= 0) {
                head.append((char) value);
            }
        }
        return head.toString();
    }
}
