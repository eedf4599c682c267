package org.chestnutbarrow.routing;

import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.WorkClass;

/**
 * The properties of an interactive request that routing uses.
 *
 * @param id request id
 * @param workClass work class of the request, which must have a tail-latency target
 * @param idempotent whether the request may be sent to an endpoint more than once
 * @param deadline monotonic nanoseconds after which the response is no longer needed
 * @param forwarded whether the request was forwarded by a peer, in which case it is not forwarded again
 */
public record RoutingRequest(String id, WorkClass workClass, boolean idempotent, long deadline, boolean forwarded) {
    public RoutingRequest {
        Checks.require(id != null && !id.isEmpty(), "request needs an id");
        Checks.require(workClass.interactive(), "class " + workClass.name() + " takes no requests");
    }
}
