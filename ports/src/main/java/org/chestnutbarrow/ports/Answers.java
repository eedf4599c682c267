package org.chestnutbarrow.ports;

import org.chestnutbarrow.http.HttpResponse;

/** What the status of an answer means. Stateless. */
final class Answers {
    private static final int FIRST_REFUSAL = 400;
    private static final int FIRST_FAULT = 500;
    private static final int MAX_QUOTED = 200;

    private Answers() {}

    /** Whether the service states that it did nothing (4xx). */
    static boolean refused(HttpResponse response) {
        return response.status() >= FIRST_REFUSAL && response.status() < FIRST_FAULT;
    }

    /** Status and start of the body, for error messages; other than printable ASCII is replaced. */
    static String describe(HttpResponse response) {
        String text = response.text();
        String start = text.substring(0, Math.min(text.length(), MAX_QUOTED)).replaceAll("[^ -~]", "?");
        return "status " + response.status() + " " + start;
    }
}
