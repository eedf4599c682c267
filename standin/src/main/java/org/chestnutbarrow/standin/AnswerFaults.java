package org.chestnutbarrow.standin;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.http.TruncatedResponseException;

/** Faults in the answers of one server of a worker. Safe for use by several threads. */
final class AnswerFaults {
    private final AtomicInteger answersToLose = new AtomicInteger();
    private volatile Duration delay = Duration.ZERO;
    private volatile Optional<TruncatedResponseException.Part> cut = Optional.empty();
    private volatile boolean fails;

    void setFails(boolean value) {
        fails = value;
    }

    /** Whether requests are answered with an error before they run. */
    boolean fails() {
        return fails;
    }

    void setDelay(Duration value) {
        delay = value;
    }

    void setCut(Optional<TruncatedResponseException.Part> value) {
        cut = value;
    }

    void loseNext(int count) {
        answersToLose.set(count);
    }

    /** The answer to an operation that took effect. */
    HttpResponse afterEffect(HttpResponse answer) throws InterruptedException, TruncatedResponseException {
        if (Counters.take(answersToLose)) {
            throw new TruncatedResponseException(answer, TruncatedResponseException.Part.NOTHING);
        }
        return delayed(answer);
    }

    /** The answer to a read. */
    HttpResponse delayed(HttpResponse answer) throws InterruptedException, TruncatedResponseException {
        Json.sleep(delay);
        Optional<TruncatedResponseException.Part> part = cut;
        if (part.isPresent()) {
            throw new TruncatedResponseException(answer, part.get());
        }
        return answer;
    }
}
