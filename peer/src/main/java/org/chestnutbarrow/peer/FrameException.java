package org.chestnutbarrow.peer;

/** Thrown if a frame violates the protocol; the connection on which it arrived is closed. */
final class FrameException extends Exception {
    private static final long serialVersionUID = 1L;

    FrameException(String message) {
        super(message);
    }

    FrameException(String message, Throwable cause) {
        super(message, cause);
    }
}
