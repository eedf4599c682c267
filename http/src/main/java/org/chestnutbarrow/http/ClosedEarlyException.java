package org.chestnutbarrow.http;

import java.io.IOException;

/** The connection was closed while it was idle, so that nothing of the next request was written to it. */
final class ClosedEarlyException extends IOException {
    private static final long serialVersionUID = 1L;

    ClosedEarlyException() {
        super("connection was closed before the request");
    }
}
