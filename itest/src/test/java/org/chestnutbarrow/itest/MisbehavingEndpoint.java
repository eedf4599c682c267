package org.chestnutbarrow.itest;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.chestnutbarrow.model.Address;

/** A service instance that duplicates its answers or sends those of earlier requests. Safe for use by several threads. */
final class MixedUpEndpoint implements AutoCloseable {
    /** What is wrong with the answers. */
    enum Mode {
        /** Each answer is sent twice in one write. */
        TWICE,
        /** Each connection is one answer behind; the first request gets a made-up one. */
        PREVIOUS
    }

    private final Mode mode;
    private final ServerSocket server;
    private final List<String> started = new CopyOnWriteArrayList<>();
    private final List<Long> startNanos = new CopyOnWriteArrayList<>();
    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();

    MixedUpEndpoint(Mode mode) throws IOException {
        this.mode = mode;
        server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        threads.execute(this::accept);
    }

    Address address() {
        return new Address("127.0.0.1", server.getLocalPort());
    }

    /** Ids of the requests that began to run, in order. */
    List<String> started() {
        return List.copyOf(started);
    }

    /** Monotonic times at which requests began to run, in order. */
    List<Long> startNanos() {
        return startNanos.stream().sorted().toList();
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = server.accept();
                connections.add(connection);
                threads.execute(() -> serve(connection));
            }
        } catch (IOException e) {
            threads.shutdown();
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
            OutputStream out = connection.getOutputStream();
            String previous = "0-made-up";
            for (String id = read(in); id != null; id = read(in)) {
                started.add(id);
                startNanos.add(System.nanoTime());
                String answer = switch (mode) {
                    case TWICE -> answer(id) + answer(id);
                    case PREVIOUS -> answer(previous);
                };
                previous = id;
                out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            }
        } catch (IOException e) {
            connections.remove(connection);
        }
    }

    /** Reads one request; returns its id, or null at the end of the connection. */
    private static String read(BufferedReader in) throws IOException {
        String id = null;
        int length = 0;
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (line.isEmpty()) {
                in.skip(length);
                return id;
            }
            String lower = line.toLowerCase(Locale.ROOT);
            if (lower.startsWith("chestnutbarrow-request-id:")) {
                id = line.substring(line.indexOf(':') + 1).strip();
            } else if (lower.startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
            }
        }
        return null;
    }

    private static String answer(String id) {
        String body = "{\"requestId\":\"" + id + "\"}";
        return "HTTP/1.1 200 OK\r\nChestnutbarrow-Request-Id: " + id + "\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket connection : connections) {
            connection.close();
        }
        threads.shutdownNow();
    }
}
