package org.chestnutbarrow.http;

import java.io.IOException;

/** Thrown if an idle connection was closed before any byte of the next request was written to it. */
final class ConnectionClosedException extends IOException {
    private static final long serialVersionUID = 1L;

    ConnectionClosedException() {
        super("connection closed before the request was written");
    }
}
