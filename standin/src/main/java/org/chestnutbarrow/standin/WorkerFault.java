package org.chestnutbarrow.standin;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.chestnutbarrow.http.TruncatedResponseException;

/** Body of {@code POST /v1/faults} of the workers, for example {@code {"fault":"crash","worker":"w0003"}}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "fault")
@JsonSubTypes({
    @JsonSubTypes.Type(value = WorkerFault.Crash.class, name = "crash"),
    @JsonSubTypes.Type(value = WorkerFault.Restart.class, name = "restart"),
    @JsonSubTypes.Type(value = WorkerFault.FailTasks.class, name = "fail-tasks"),
    @JsonSubTypes.Type(value = WorkerFault.FailRequests.class, name = "fail-requests"),
    @JsonSubTypes.Type(value = WorkerFault.Delay.class, name = "delay"),
    @JsonSubTypes.Type(value = WorkerFault.Cut.class, name = "cut"),
    @JsonSubTypes.Type(value = WorkerFault.Leaving.class, name = "leaving"),
    @JsonSubTypes.Type(value = WorkerFault.LoseAnswers.class, name = "lose-answers")
})
sealed interface WorkerFault {
    /** Id of the worker that it concerns. */
    String worker();

    /** Closes the worker's servers and ends its tasks. */
    record Crash(String worker) implements WorkerFault {}

    /** Opens the servers again without tasks; crashes the worker first if it is up. */
    record Restart(String worker) implements WorkerFault {}

    /** Makes every task fail that starts while this is on. */
    record FailTasks(String worker, boolean on) implements WorkerFault {}

    /** Answers every request with 500 at once, without running it, while this is on. */
    record FailRequests(String worker, boolean on) implements WorkerFault {}

    /** Delays answers after the effect; 0 ends it. */
    record Delay(String worker, Server server, long ms) implements WorkerFault {
        public Delay {
            server = server == null ? Server.ENDPOINT : server;
        }
    }

    /** Sends only a part of each answer and closes the connection; without a part it ends. */
    record Cut(String worker, Server server, TruncatedResponseException.Part part) implements WorkerFault {
        public Cut {
            server = server == null ? Server.ENDPOINT : server;
        }
    }

    /** Shows the host as leaving in the host list. */
    record Leaving(String worker, boolean on) implements WorkerFault {}

    /** Closes the connection instead of answering the next commands, or requests, after they took effect. */
    record LoseAnswers(String worker, Server server, int count) implements WorkerFault {
        public LoseAnswers {
            server = server == null ? Server.CONTROL : server;
        }
    }

    /** One of a worker's servers. */
    enum Server {
        CONTROL,
        ENDPOINT
    }
}
