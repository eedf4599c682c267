package org.chestnutbarrow.http;

import java.nio.charset.StandardCharsets;
import org.chestnutbarrow.model.Checks;

/**
 * A complete HTTP request. The body is not copied and must not be modified.
 *
 * @param method method in upper case
 * @param target path with an optional query, starting with {@code /}
 * @param headers header fields without hop-by-hop and framing fields
 * @param body body bytes, empty if there is none
 */
public record HttpRequest(String method, String target, Headers headers, byte[] body) {
    public HttpRequest {
        Checks.require(method != null && !method.isEmpty(), "request must have a method");
        Checks.require(target != null && target.startsWith("/"), "request target must start with /");
        Checks.require(headers != null && body != null, "request must have headers and a body");
    }

    /** Creates a GET request. */
    public static HttpRequest get(String target) {
        return new HttpRequest("GET", target, Headers.EMPTY, new byte[0]);
    }

    /** Creates a request with a JSON body. */
    public static HttpRequest json(String method, String target, String json) {
        return new HttpRequest(
                method, target, Headers.of("Content-Type", "application/json"), json.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the target without its query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /**
     * Returns the raw value of a query parameter, without percent-decoding, or {@code defaultValue} if it is absent.
     */
    public String query(String name, String defaultValue) {
        int start = target.indexOf('?');
        if (start < 0) {
            return defaultValue;
        }
        for (String pair : target.substring(start + 1).split("&")) {
            if (pair.startsWith(name + "=")) {
                return pair.substring(name.length() + 1);
            }
        }
        return defaultValue;
    }

    /** Returns the body decoded as UTF-8. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
