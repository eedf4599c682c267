package org.chestnutbarrow.http;

import io.netty.channel.Channel;
import java.util.concurrent.CompletableFuture;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;

/**
 * One request on its way and the answer it waits for. Safe for use by several threads.
 *
 * <p>Invariant: once the caller has abandoned the exchange nothing is written for it, and once writing has begun a
 * failure is never reported as not run.
 */
final class PendingExchange {
    private enum Stage {
        WAITING,
        WRITING,
        ABANDONED
    }

    private final Address to;
    private final HttpRequest request;
    private final SendGate gate;
    private final CompletableFuture<HttpResponse> result = new CompletableFuture<>();
    private Stage stage = Stage.WAITING;
    private boolean written;
    private volatile boolean reusable;
    private volatile long received;

    PendingExchange(Address to, HttpRequest request, SendGate gate) {
        this.to = to;
        this.request = request;
        this.gate = gate;
    }

    Address to() {
        return to;
    }

    HttpRequest request() {
        return request;
    }

    CompletableFuture<HttpResponse> result() {
        return result;
    }

    /** Time of the last received part of the answer, or up to which none is expected, ns. */
    long received() {
        return received;
    }

    void received(long at) {
        received = at;
    }

    /** Moves to writing unless the caller has gone or the gate is shut. */
    synchronized boolean startWriting() {
        if (stage != Stage.WAITING) {
            return false;
        }
        try {
            gate.check();
        } catch (NotRunException e) {
            result.completeExceptionally(e);
            return false;
        }
        stage = Stage.WRITING;
        written = true;
        return true;
    }

    /** Gives up the exchange and closes its connection, so that a late answer reaches nobody. */
    void abandon(Channel channel) {
        synchronized (this) {
            stage = Stage.ABANDONED;
        }
        channel.close();
    }

    void succeed(HttpResponse response, boolean keepOpen) {
        reusable = keepOpen;
        result.complete(response);
    }

    boolean reusable() {
        return reusable;
    }

    /** Throws what a failed exchange means: not run if nothing was written, otherwise unknown. */
    synchronized OutcomeUnknownException failure(String why, Throwable cause) throws NotRunException {
        if (cause instanceof NotRunException notRun) {
            throw notRun;
        }
        if (!written) {
            throw new NotRunException("request to " + to + " was not sent: " + why, "send it again", cause);
        }
        return new OutcomeUnknownException(
                "request to " + to + " has no whole answer: " + why, "ask for its outcome before repeating it", cause);
    }
}
