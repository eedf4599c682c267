package org.chestnutbarrow.peer;

import java.util.concurrent.CompletableFuture;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;

/**
 * A call that waits for its response. Thread-safe.
 *
 * <p>Invariant: a call is never written after it has failed, and a call whose writing has started is never reported as
 * not run.
 */
final class PendingCall {
    private enum Stage {
        WAITING,
        WRITING,
        FAILED
    }

    private final DaemonId peer;
    private final CompletableFuture<PeerMessage> result = new CompletableFuture<>();
    private Stage stage = Stage.WAITING;
    private boolean writeStarted;

    PendingCall(DaemonId peer) {
        this.peer = peer;
    }

    CompletableFuture<PeerMessage> result() {
        return result;
    }

    /** Marks the call as being written; returns false if it has failed already. */
    synchronized boolean startWriting() {
        if (stage != Stage.WAITING) {
            return false;
        }
        stage = Stage.WRITING;
        writeStarted = true;
        return true;
    }

    /** Completes the call without a response. */
    void fail(String reason) {
        synchronized (this) {
            stage = Stage.FAILED;
        }
        result.completeExceptionally(new IllegalStateException(reason));
    }

    /** Returns the exception for an unknown outcome, or throws {@link NotRunException} if writing was never started. */
    synchronized OutcomeUnknownException toException(String reason) throws NotRunException {
        if (!writeStarted) {
            throw notRun(peer, reason);
        }
        return new OutcomeUnknownException(
                "call to peer " + peer + " has no response: " + reason, "query the outcome before repeating the call");
    }

    static NotRunException notRun(DaemonId peer, String reason) {
        return new NotRunException("call to peer " + peer + " was not sent: " + reason, "retry or use another peer");
    }
}
