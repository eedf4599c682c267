package org.chestnutbarrow.http;

import io.netty.channel.Channel;
import java.util.concurrent.CompletableFuture;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;

/**
 * A request that waits for its response. Thread-safe.
 *
 * <p>Invariant: nothing is written for an exchange after the caller has abandoned it, and an exchange whose writing has
 * started is never reported as not run.
 */
final class PendingExchange {
    private enum Stage {
        WAITING,
        WRITING,
        ABANDONED
    }

    private final Address address;
    private final HttpRequest request;
    private final SendPrecondition precondition;
    private final CompletableFuture<HttpResponse> result = new CompletableFuture<>();
    private Stage stage = Stage.WAITING;
    private boolean writeStarted;
    private volatile boolean reusable;
    private volatile long lastActivity;

    PendingExchange(Address address, HttpRequest request, SendPrecondition precondition) {
        this.address = address;
        this.request = request;
        this.precondition = precondition;
    }

    Address address() {
        return address;
    }

    HttpRequest request() {
        return request;
    }

    CompletableFuture<HttpResponse> result() {
        return result;
    }

    /**
     * Returns the time, in ns, from which the idle timeout counts: when a part of the response was last received.
     * Before the first part it may lie in the future, because no activity is expected while the server may delay the
     * response.
     */
    long lastActivity() {
        return lastActivity;
    }

    void setLastActivity(long nanoTime) {
        lastActivity = nanoTime;
    }

    /** Marks the exchange as being written, unless the caller has abandoned it or the precondition fails. */
    synchronized boolean startWriting() {
        if (stage != Stage.WAITING) {
            return false;
        }
        try {
            precondition.check();
        } catch (NotRunException e) {
            result.completeExceptionally(e);
            return false;
        }
        stage = Stage.WRITING;
        writeStarted = true;
        return true;
    }

    /** Abandons the exchange and closes its connection, so that a late response is never delivered. */
    void abandon(Channel channel) {
        synchronized (this) {
            stage = Stage.ABANDONED;
        }
        channel.close();
    }

    void succeed(HttpResponse response, boolean connectionReusable) {
        reusable = connectionReusable;
        result.complete(response);
    }

    boolean isReusable() {
        return reusable;
    }

    /** Returns the exception for an unknown outcome, or throws {@link NotRunException} if nothing was written. */
    synchronized OutcomeUnknownException toException(String reason, Throwable cause) throws NotRunException {
        if (cause instanceof NotRunException notRun) {
            throw notRun;
        }
        if (!writeStarted) {
            throw new NotRunException("request to " + address + " was not sent: " + reason, "retry the request", cause);
        }
        return new OutcomeUnknownException(
                "request to " + address + " has no complete response: " + reason,
                "query the outcome before repeating the request",
                cause);
    }
}
