package org.chestnutbarrow.http;

import java.nio.charset.StandardCharsets;
import org.chestnutbarrow.model.Checks;

/**
 * A whole request. The body is not copied; do not change it.
 *
 * @param method upper-case method
 * @param target path with an optional query, starting with {@code /}
 * @param headers header fields without those that frame the message
 * @param body body bytes, empty if there is none
 */
public record HttpRequest(String method, String target, Headers headers, byte[] body) {
    public HttpRequest {
        Checks.require(method != null && !method.isEmpty(), "request needs a method");
        Checks.require(target != null && target.startsWith("/"), "request target must start with /");
        Checks.require(headers != null && body != null, "request needs headers and body");
    }

    /** A request without a body. */
    public static HttpRequest get(String target) {
        return new HttpRequest("GET", target, Headers.NONE, new byte[0]);
    }

    /** A request with a JSON body. */
    public static HttpRequest json(String method, String target, String json) {
        return new HttpRequest(
                method, target, Headers.of("Content-Type", "application/json"), json.getBytes(StandardCharsets.UTF_8));
    }

    /** The target without its query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** The value of a query parameter as sent, or {@code otherwise} if it is absent; no percent-decoding is done. */
    public String query(String name, String otherwise) {
        int start = target.indexOf('?');
        if (start < 0) {
            return otherwise;
        }
        for (String pair : target.substring(start + 1).split("&")) {
            if (pair.startsWith(name + "=")) {
                return pair.substring(name.length() + 1);
            }
        }
        return otherwise;
    }

    /** The body as UTF-8 text. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
