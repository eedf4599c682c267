package org.chestnutbarrow.cli;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A response from a daemon.
 *
 * @param status HTTP status code
 * @param body response body as JSON
 */
record DaemonResponse(int status, JsonNode body) {
    private static final int MIN_ERROR_STATUS = 400;

    boolean isSuccess() {
        return status < MIN_ERROR_STATUS;
    }

    String textField(String field) {
        return body.path(field).asText("");
    }
}
