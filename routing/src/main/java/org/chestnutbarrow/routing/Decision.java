package org.chestnutbarrow.routing;

import java.time.Duration;
import org.chestnutbarrow.capacity.Reservation;
import org.chestnutbarrow.model.DaemonId;

/** What to do with a request. Immutable. */
public sealed interface Decision {
    /** Send it to the worker of the hold; give the hold back by {@link Router#finished}. */
    record Send(Reservation hold, String reason) implements Decision {}

    /** Let a peer run it on one of its workers. */
    record Forward(DaemonId peer, String reason) implements Decision {}

    /** Wait for a grant for the ticket, at most until the request's deadline, then {@link Router#abandon} it. */
    record Wait(long ticket, String reason) implements Decision {}

    /** Answer that it was not run. */
    record Refuse(String reason, Duration retryAfter) implements Decision {}
}
