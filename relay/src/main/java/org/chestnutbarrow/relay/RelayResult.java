package org.chestnutbarrow.relay;

import org.chestnutbarrow.node.WorkerPort;

/** What came of a call that a relay made. Immutable. */
sealed interface RelayResult {
    /** The worker has answered. */
    record Answered(WorkerPort.Answer answer) implements RelayResult {}

    /** The call has not reached the worker and never will. */
    record NotSent(String reason) implements RelayResult {}

    /** The worker has not answered in time; it may carry out the call at any later time. */
    record Unanswered(String reason) implements RelayResult {}
}
