package org.chestnutbarrow.configcheck;

import org.chestnutbarrow.configcheck.Configuration.ClientAccount;
import org.chestnutbarrow.configcheck.Configuration.Limit;
import org.chestnutbarrow.configcheck.Configuration.Route;
import org.chestnutbarrow.configcheck.Configuration.Service;

/** Something in a readable configuration that does not have the effect it was written for. Findings are immutable. */
public sealed interface Finding {
    /** A finding in the configuration as a whole, its services or its limits. */
    sealed interface General extends Finding {}

    /** A finding in a route. */
    sealed interface OfRoute extends Finding {
        Route route();
    }

    /** A finding in a client account. */
    sealed interface OfAccount extends Finding {
        ClientAccount account();
    }

    /** Nodes treat a negative version as no configuration. */
    record NegativeVersion(long version) implements General {}

    /** Nodes ignore a lower version, and nothing tells apart two configurations of the same version. */
    record VersionNotAbove(long version, long inForce) implements General {}

    /** No route is readable, so every submission is refused. */
    record NoRoutes() implements General {}

    /** The host equals the Host header of no request. */
    record UnmatchableHost(Route route) implements OfRoute {}

    /** The prefix begins the path of no request, or of none that ends with a job ID. */
    record UnmatchablePrefix(Route route) implements OfRoute {}

    /** A later route has the same key, so that nodes keep only the later one. */
    record ReplacedRoute(Route route, Route by) implements OfRoute {}

    /** Both routes match the same requests; each node chooses one of them. */
    record AmbiguousRoute(Route route, Route other) implements OfRoute {}

    /** A route with a longer prefix gets the jobs whose IDs begin with {@code idStart}. */
    record ShadowedIds(Route route, Route by, String idStart) implements OfRoute {}

    /** The configuration lists services, and that of the route is not among them. */
    record UnknownService(Route route) implements OfRoute {}

    /** Below 1 attempt. */
    record TooFewAttempts(Route route) implements OfRoute {}

    /** The target latency is not above 0. */
    record TargetNotPositive(Route route) implements OfRoute {}

    /** The deadline of a job is before the end of its own run time. */
    record StretchBelowOne(Route route) implements OfRoute {}

    /** Two services have the same name. */
    record RepeatedService(Service service, Service first) implements General {}

    /** A limit that refuses everything. */
    record LimitNotPositive(Limit limit, long value) implements General {}

    /** Nodes apply a lower limit. */
    record LimitAboveNodes(Limit limit, long value, long applied) implements General {}

    /** Jobs that nodes would store are refused for the size of their request. */
    record BodyLimitBelowJob(long value, long jobBytes) implements General {}

    /** There are no accounts, so nobody can call a route that needs a key. */
    record NoCallers() implements General {}

    /** A later account has the same name: nodes keep its weight and cap, and the keys of both. */
    record ReplacedAccount(ClientAccount account, ClientAccount by) implements OfAccount {}

    /** The account has no key, so nobody can use it. */
    record NoKeys(ClientAccount account) implements OfAccount {}

    /** A later key of another account is the same; the calls count for that one. Key numbers are positions. */
    record SharedKey(ClientAccount account, int key, ClientAccount by, int byKey) implements OfAccount {}

    /** Weight 0: no share while others wait, but no agreed rate either, so submissions are not limited. */
    record NoShare(ClientAccount account) implements OfAccount {}
}
