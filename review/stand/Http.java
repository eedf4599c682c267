package review.stand;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client on blocking sockets. */
final class Http {
    private Http() {}

    record Request(String method, String path, Map<String, String> query, Map<String, String> headers, byte[] body) {}

    /** A response; null in place of one leaves the request unanswered and the connection silent. */
    record Response(int status, String type, byte[] body) {
        static Response json(int status, String body) {
            return new Response(status, "application/json", body.getBytes(StandardCharsets.UTF_8));
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    interface Handler {
        Response handle(Request request) throws Exception;
    }

    /** A server; {@link #stop} closes the listener and resets all connections, as the end of a process does. */
    static final class Server {
        private final ServerSocket listener;
        private final Handler handler;
        private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
        private volatile boolean stopped;

        Server(String ip, int port, Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 512);
            Thread.ofVirtual().start(this::acceptLoop);
        }

        int port() {
            return listener.getLocalPort();
        }

        private void acceptLoop() {
            while (!stopped) {
                try {
                    Socket socket = listener.accept();
                    connections.add(socket);
                    Thread.ofVirtual().start(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                while (!stopped) {
                    Request request = readRequest(in);
                    if (request == null) {
                        return;
                    }
                    Response response = handler.handle(request);
                    if (response == null) {
                        // Nothing further comes on this connection; wait until the caller closes it.
                        while (in.read() >= 0) {}
                        return;
                    }
                    if (stopped) {
                        return;
                    }
                    write(out, "HTTP/1.1 " + response.status() + " X", Map.of("Content-Type", response.type()), response.body());
                }
            } catch (Exception e) {
                // The connection ends; the caller sees that.
            } finally {
                connections.remove(socket);
            }
        }

        void stop() {
            stopped = true;
            try {
                listener.close();
                for (Socket socket : connections) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                }
            } catch (IOException e) {
                // Already closed.
            }
        }
    }

    private static void write(OutputStream out, String first, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder(first).append("\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next;
        while ((next = in.read()) != '\n') {
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException();
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    private static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new HashMap<>();
        String line;
        while ((line = readLine(in)) != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
        return headers;
    }

    private static byte[] readBody(InputStream in, Map<String, String> headers) throws IOException {
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException();
        }
        return body;
    }

    private static Request readRequest(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        String[] words = line.split(" ");
        Map<String, String> headers = readHeaders(in);
        int mark = words[1].indexOf('?');
        Map<String, String> query = new HashMap<>();
        if (mark >= 0) {
            for (String pair : words[1].substring(mark + 1).split("&")) {
                int equals = pair.indexOf('=');
                query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return new Request(words[0], mark < 0 ? words[1] : words[1].substring(0, mark), query, headers, readBody(in, headers));
    }

    /** Sends one request on a new connection; returns null if no complete response came in time. */
    static Response call(String address, String method, String path, Map<String, String> headers, String body, int timeoutMs) {
        int colon = address.indexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), timeoutMs);
            socket.setSoTimeout(timeoutMs);
            Map<String, String> all = new HashMap<>(headers);
            all.put("Connection", "close");
            all.put("Content-Type", "application/json");
            all.putIfAbsent("Host", address);
            write(socket.getOutputStream(), method + " " + path + " HTTP/1.1", all, body.getBytes(StandardCharsets.UTF_8));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String line = readLine(in);
            if (line == null) {
                return null;
            }
            Map<String, String> received = readHeaders(in);
            return new Response(Integer.parseInt(line.split(" ")[1]), received.getOrDefault("content-type", ""), readBody(in, received));
        } catch (IOException e) {
            return null;
        }
    }
}
