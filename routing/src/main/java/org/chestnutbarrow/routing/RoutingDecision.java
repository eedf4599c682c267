package org.chestnutbarrow.routing;

import java.time.Duration;
import org.chestnutbarrow.capacity.Reservation;
import org.chestnutbarrow.model.DaemonId;

/** How to handle a request. Immutable. */
public sealed interface RoutingDecision {
    /** Send the request to the worker of the reservation, which is released by {@link Router#complete}. */
    record Send(Reservation reservation, String reason) implements RoutingDecision {}

    /** Forward the request to a peer, which sends it to one of its workers. */
    record Forward(DaemonId peer, String reason) implements RoutingDecision {}

    /** Wait for a grant with this ticket until the request's deadline at most, then call {@link Router#cancelWait}. */
    record Wait(long ticket, String reason) implements RoutingDecision {}

    /** Answer that the request was not run. */
    record Refuse(String reason, Duration retryAfter) implements RoutingDecision {}
}
