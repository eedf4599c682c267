package org.chestnutbarrow.routing;

import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.WorkClass;

/**
 * An interactive request as routing sees it.
 *
 * @param id request id
 * @param work its class, with a tail-latency target
 * @param idempotent whether it may be sent to an endpoint more than once
 * @param deadline monotonic nanoseconds after which the answer is of no use
 * @param forwarded whether a peer sent it here; it is not forwarded again
 */
public record RouteRequest(String id, WorkClass work, boolean idempotent, long deadline, boolean forwarded) {
    public RouteRequest {
        Checks.require(id != null && !id.isEmpty(), "request needs an id");
        Checks.require(work.interactive(), "class " + work.name() + " takes no requests");
    }
}
