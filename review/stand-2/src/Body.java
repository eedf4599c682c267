import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.UncheckedIOException;

/** JSON bodies. Stateless. */
final class Body {
    static final ObjectMapper JSON = new ObjectMapper();

    private Body() {}

    static JsonNode parse(byte[] bytes) {
        try {
            return bytes.length == 0 ? JSON.createObjectNode() : JSON.readTree(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static ObjectNode object() {
        return JSON.createObjectNode();
    }

    static byte[] bytes(JsonNode node) {
        try {
            return JSON.writeValueAsBytes(node);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) {
            exchange.getResponseBody().write(body);
        }
        exchange.close();
    }

    static void answer(HttpExchange exchange, int status, JsonNode body) throws IOException {
        answer(exchange, status, bytes(body));
    }
}
