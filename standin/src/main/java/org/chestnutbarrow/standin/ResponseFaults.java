package org.chestnutbarrow.standin;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.http.TruncatedResponseException;

/** Faults injected into the responses of one server of a worker. Thread-safe. */
final class ResponseFaults {
    private final AtomicInteger responsesToDrop = new AtomicInteger();
    private volatile Duration delay = Duration.ZERO;
    private volatile Optional<TruncatedResponseException.Part> truncation = Optional.empty();
    private volatile boolean failing;

    void setFailing(boolean value) {
        failing = value;
    }

    /** Returns whether requests are rejected with an error before they are executed. */
    boolean failing() {
        return failing;
    }

    void setDelay(Duration value) {
        delay = value;
    }

    void setTruncation(Optional<TruncatedResponseException.Part> value) {
        truncation = value;
    }

    void dropNextResponses(int count) {
        responsesToDrop.set(count);
    }

    /** Applies the faults to the response of an operation that has taken effect. */
    HttpResponse applyToCommitted(HttpResponse response) throws InterruptedException, TruncatedResponseException {
        if (FaultCounters.decrementIfPositive(responsesToDrop)) {
            throw new TruncatedResponseException(response, TruncatedResponseException.Part.NOTHING);
        }
        return applyToRead(response);
    }

    /** Applies delay and truncation to the response of a read-only operation. */
    HttpResponse applyToRead(HttpResponse response) throws InterruptedException, TruncatedResponseException {
        Json.sleep(delay);
        Optional<TruncatedResponseException.Part> truncateAfter = truncation;
        if (truncateAfter.isPresent()) {
            throw new TruncatedResponseException(response, truncateAfter.get());
        }
        return response;
    }
}
