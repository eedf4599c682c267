package org.chestnutbarrow.http;

import org.chestnutbarrow.model.Checks;

/**
 * Thrown by a handler to close the connection before the complete response is written. Used for fault injection: the
 * request has run, but the caller cannot learn its result.
 */
public final class TruncatedResponseException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient HttpResponse response;
    private final Part part;

    /**
     * Creates the exception.
     *
     * @param response the complete response
     * @param part the part of the response that is sent before the connection is closed
     */
    public TruncatedResponseException(HttpResponse response, Part part) {
        super("response truncated", null, false, false);
        Checks.require(response != null && part != null, "response and part must not be null");
        this.response = response;
        this.part = part;
    }

    HttpResponse response() {
        return response;
    }

    Part part() {
        return part;
    }

    /** The part of a response that is sent. */
    public enum Part {
        /** No byte. */
        NOTHING,
        /** Status line and header fields, with the length of the complete body. */
        HEADERS,
        /** Header fields and the first half of the body. */
        HALF_BODY
    }
}
