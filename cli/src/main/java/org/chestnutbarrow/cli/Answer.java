package org.chestnutbarrow.cli;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A daemon's answer.
 *
 * @param status HTTP status
 * @param body the answer as JSON
 */
record Answer(int status, JsonNode body) {
    private static final int FIRST_ERROR = 400;

    boolean ok() {
        return status < FIRST_ERROR;
    }

    String text(String field) {
        return body.path(field).asText("");
    }
}
