import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One HTTP call of a client on a connection of its own. Stateless. */
final class Call {
    /** The answer of a node; status 0 if there was none. */
    record Answer(int status, String body) {}

    private Call() {}

    static Answer send(String ip, int port, String method, String host, String path, String body, int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), timeoutMs);
            socket.setSoTimeout(timeoutMs);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nDeadline-Ms: " + timeoutMs
                    + "\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
                    + "\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            int end = text.indexOf("\r\n\r\n");
            if (end < 0) {
                return new Answer(0, "");
            }
            return new Answer(Integer.parseInt(text.substring(9, 12)), text.substring(end + 4));
        } catch (IOException e) {
            return new Answer(0, e.toString());
        }
    }
}
