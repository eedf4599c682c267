package org.chestnutbarrow.http;

import org.chestnutbarrow.model.Checks;

/**
 * Thrown by a handler to end the connection before the whole answer was written. For fault injection: the request has
 * run, and its caller cannot learn the result.
 */
public final class TruncatedAnswerException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient HttpResponse whole;
    private final Part part;

    /**
     * Creates the exception.
     *
     * @param whole the answer that would have been sent
     * @param part how much of it is sent before the connection closes
     */
    public TruncatedAnswerException(HttpResponse whole, Part part) {
        super("the answer is cut", null, false, false);
        Checks.require(whole != null && part != null, "a truncated answer needs the whole answer and its part");
        this.whole = whole;
        this.part = part;
    }

    HttpResponse whole() {
        return whole;
    }

    Part part() {
        return part;
    }

    /** How much of an answer is sent. */
    public enum Part {
        /** Not a byte. */
        NOTHING,
        /** Status line and header fields, with the length of the whole body. */
        HEADERS,
        /** Header fields and the first half of the body. */
        HALF_BODY
    }
}
