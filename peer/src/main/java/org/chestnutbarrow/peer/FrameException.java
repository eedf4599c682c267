package org.chestnutbarrow.peer;

/** A frame from the other side breaks the protocol; its connection is closed. */
final class FrameException extends Exception {
    private static final long serialVersionUID = 1L;

    FrameException(String message) {
        super(message);
    }

    FrameException(String message, Throwable cause) {
        super(message, cause);
    }
}
