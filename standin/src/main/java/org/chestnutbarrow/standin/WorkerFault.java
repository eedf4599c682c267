package org.chestnutbarrow.standin;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.chestnutbarrow.http.TruncatedResponseException;

/** Body of {@code POST /v1/faults} for workers, for example {@code {"fault":"crash","worker":"w0003"}}. */
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
    /** Id of the affected worker. */
    String worker();

    /** Closes the worker's servers and terminates its tasks. */
    record Crash(String worker) implements WorkerFault {}

    /** Reopens the servers without any tasks; crashes the worker first if it is running. */
    record Restart(String worker) implements WorkerFault {}

    /** Makes every task that starts while this is on fail. */
    record FailTasks(String worker, boolean on) implements WorkerFault {}

    /** Rejects every request with status 500 without executing it while this is on. */
    record FailRequests(String worker, boolean on) implements WorkerFault {}

    /** Delays responses after the operation has taken effect; 0 disables the delay. */
    record Delay(String worker, Server server, long ms) implements WorkerFault {
        public Delay {
            server = server == null ? Server.ENDPOINT : server;
        }
    }

    /** Truncates each response at {@code part} and closes the connection; null disables the fault. */
    record Cut(String worker, Server server, TruncatedResponseException.Part part) implements WorkerFault {
        public Cut {
            server = server == null ? Server.ENDPOINT : server;
        }
    }

    /** Sets or clears the leaving state of the host in the host list. */
    record Leaving(String worker, boolean on) implements WorkerFault {}

    /** Closes the connection without a response for the next operations, after they have taken effect. */
    record LoseAnswers(String worker, Server server, int count) implements WorkerFault {
        public LoseAnswers {
            server = server == null ? Server.CONTROL : server;
        }
    }

    /** Server of a worker to which a fault applies. */
    enum Server {
        CONTROL,
        ENDPOINT
    }
}
