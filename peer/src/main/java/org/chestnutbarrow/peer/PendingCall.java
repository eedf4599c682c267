package org.chestnutbarrow.peer;

import java.util.concurrent.CompletableFuture;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;

/**
 * One call on its way and the answer it waits for. Safe for use by several threads.
 *
 * <p>Invariant: a call that has failed is not written afterwards, and once writing has begun a failure is never reported
 * as not run.
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
    private boolean written;

    PendingCall(DaemonId peer) {
        this.peer = peer;
    }

    CompletableFuture<PeerMessage> result() {
        return result;
    }

    /** Moves to writing unless the call has failed. */
    synchronized boolean startWriting() {
        if (stage != Stage.WAITING) {
            return false;
        }
        stage = Stage.WRITING;
        written = true;
        return true;
    }

    /** Ends the call without an answer. */
    void fail(String why) {
        synchronized (this) {
            stage = Stage.FAILED;
        }
        result.completeExceptionally(new IllegalStateException(why));
    }

    /** Throws what a failed call means: not run if nothing was written, otherwise unknown. */
    synchronized OutcomeUnknownException failure(String why) throws NotRunException {
        if (!written) {
            throw notRun(peer, why);
        }
        return new OutcomeUnknownException(
                "call to peer " + peer + " has no answer: " + why, "ask for its outcome before repeating it");
    }

    static NotRunException notRun(DaemonId peer, String why) {
        return new NotRunException("call to peer " + peer + " was not sent: " + why, "call again or use another peer");
    }
}
