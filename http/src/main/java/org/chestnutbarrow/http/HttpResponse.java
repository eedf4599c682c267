package org.chestnutbarrow.http;

import java.nio.charset.StandardCharsets;
import org.chestnutbarrow.model.Checks;

/**
 * A complete HTTP response. The body is not copied and must not be modified.
 *
 * @param status status code, from 200 to 599
 * @param headers header fields without hop-by-hop and framing fields
 * @param body body bytes, empty if there is none
 */
public record HttpResponse(int status, Headers headers, byte[] body) {
    private static final int MIN_STATUS = 200;
    private static final int MAX_STATUS = 599;

    public HttpResponse {
        Checks.require(status >= MIN_STATUS && status <= MAX_STATUS, "status must be from 200 to 599");
        Checks.require(headers != null && body != null, "response must have headers and a body");
    }

    /** Creates a JSON response. */
    public static HttpResponse json(int status, String json) {
        return of(status, "application/json", json);
    }

    /** Creates a plain text response. */
    public static HttpResponse text(int status, String text) {
        return of(status, "text/plain; charset=utf-8", text);
    }

    /** Returns a copy with the header field set, replacing fields of the same name. */
    public HttpResponse with(String name, String value) {
        return new HttpResponse(status, headers.with(name, value), body);
    }

    /** Returns the body decoded as UTF-8. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    private static HttpResponse of(int status, String contentType, String text) {
        return new HttpResponse(status, Headers.of("Content-Type", contentType), text.getBytes(StandardCharsets.UTF_8));
    }
}
