package org.chestnutbarrow.ports;

import org.chestnutbarrow.http.HttpResponse;

/** Interprets HTTP responses. Stateless. */
final class Responses {
    private static final int FIRST_CLIENT_ERROR = 400;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int MAX_QUOTED_CHARS = 200;

    private Responses() {}

    /** Returns whether the service rejected the request without acting on it (4xx). */
    static boolean isClientError(HttpResponse response) {
        return response.status() >= FIRST_CLIENT_ERROR && response.status() < FIRST_SERVER_ERROR;
    }

    /** Returns status and start of the body for error messages; characters other than printable ASCII are replaced. */
    static String describe(HttpResponse response) {
        String text = response.text();
        String start =
                text.substring(0, Math.min(text.length(), MAX_QUOTED_CHARS)).replaceAll("[^ -~]", "?");
        return "status " + response.status() + " " + start;
    }
}
