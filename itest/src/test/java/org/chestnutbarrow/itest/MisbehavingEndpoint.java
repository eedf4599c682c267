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

/** An endpoint that sends each response twice or sends the response of the previous request. Thread-safe. */
final class MisbehavingEndpoint implements AutoCloseable {
    /** Kinds of wrong responses. */
    enum Mode {
        /** Sends each response twice in a single write. */
        TWICE,
        /** Sends the response of the previous request on the connection; the first response is fabricated. */
        PREVIOUS
    }

    private final Mode mode;
    private final ServerSocket server;
    private final List<String> startedIds = new CopyOnWriteArrayList<>();
    private final List<Long> startNanos = new CopyOnWriteArrayList<>();
    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

    MisbehavingEndpoint(Mode mode) throws IOException {
        this.mode = mode;
        server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        executor.execute(this::accept);
    }

    Address address() {
        return new Address("127.0.0.1", server.getLocalPort());
    }

    /** Ids of the started requests, in start order. */
    List<String> startedIds() {
        return List.copyOf(startedIds);
    }

    /** Monotonic start times of the requests, in ascending order. */
    List<Long> startNanos() {
        return startNanos.stream().sorted().toList();
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = server.accept();
                connections.add(connection);
                executor.execute(() -> serve(connection));
            }
        } catch (IOException e) {
            executor.shutdown();
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
            OutputStream output = connection.getOutputStream();
            String previous = "0-fabricated";
            for (String id = readRequestId(reader); id != null; id = readRequestId(reader)) {
                startedIds.add(id);
                startNanos.add(System.nanoTime());
                String response = switch (mode) {
                    case TWICE -> response(id) + response(id);
                    case PREVIOUS -> response(previous);
                };
                previous = id;
                output.write(response.getBytes(StandardCharsets.ISO_8859_1));
                output.flush();
            }
        } catch (IOException e) {
            connections.remove(connection);
        }
    }

    /** Reads a request and returns its id, or null at end of stream. */
    private static String readRequestId(BufferedReader reader) throws IOException {
        String id = null;
        int length = 0;
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            if (line.isEmpty()) {
                reader.skip(length);
                return id;
            }
            String lowerCase = line.toLowerCase(Locale.ROOT);
            if (lowerCase.startsWith("chestnutbarrow-request-id:")) {
                id = line.substring(line.indexOf(':') + 1).strip();
            } else if (lowerCase.startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
            }
        }
        return null;
    }

    private static String response(String id) {
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
        executor.shutdownNow();
    }
}
