package org.chestnutbarrow.configcheck;

import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.chestnutbarrow.batch.Queue;
import org.chestnutbarrow.configcheck.Configuration.Route;
import org.chestnutbarrow.configcheck.Configuration.Service;

/**
 * Checks routes against the rules by which nodes choose one: the host is compared without regard to case, and of the
 * prefixes that match the longest wins, so a shorter prefix never hides a longer one. Stateless.
 */
final class RouteChecks {
    /** Characters that occur in no Host header. */
    private static final Pattern NO_HOST = Pattern.compile(".*[\\s/?#@].*", Pattern.DOTALL);
    /** A query is cut off before paths are compared, and a request line has no spaces. */
    private static final Pattern PREFIX = Pattern.compile("/[^\\s?]*");
    /** The beginning of a job ID, see {@link org.chestnutbarrow.model.JobId}. */
    private static final Pattern ID_START = Pattern.compile("[A-Za-z0-9._:-]{1,128}");

    private RouteChecks() {}

    static void check(Configuration configuration, List<Finding> findings) {
        List<Route> routes = configuration.routes();
        if (routes.isEmpty()) {
            findings.add(new Finding.NoRoutes());
        }
        for (int i = 0; i < routes.size(); i++) {
            checkMatching(routes, i, findings);
            checkService(configuration, routes.get(i), findings);
            checkPolicy(routes.get(i), findings);
        }
    }

    private static void checkMatching(List<Route> routes, int position, List<Finding> findings) {
        Route route = routes.get(position);
        if (route.queue().host().isEmpty()
                || NO_HOST.matcher(route.queue().host()).matches()) {
            findings.add(new Finding.UnmatchableHost(route));
        }
        if (!PREFIX.matcher(route.queue().prefix()).matches()) {
            findings.add(new Finding.UnmatchablePrefix(route));
        }
        Route kept = keptRoute(route, routes);
        if (kept.index() != route.index()) {
            findings.add(new Finding.ReplacedRoute(route, kept));
            return;
        }
        for (Route other : routes.subList(position + 1, routes.size())) {
            if (isSameHost(route, other)
                    && route.queue().prefix().equals(other.queue().prefix())) {
                findings.add(new Finding.AmbiguousRoute(route, other));
            }
        }
        routes.stream()
                .filter(other -> keptRoute(other, routes).index() == other.index())
                .forEach(other -> checkLongerPrefix(route, other, findings));
    }

    private static void checkLongerPrefix(Route route, Route other, List<Finding> findings) {
        String prefix = route.queue().prefix();
        String longer = other.queue().prefix();
        if (isSameHost(route, other)
                && longer.startsWith(prefix)
                && ID_START.matcher(longer.substring(prefix.length())).matches()) {
            findings.add(new Finding.ShadowedIds(route, other, longer.substring(prefix.length())));
        }
    }

    /** Returns the route that nodes keep of those with the same key, the last one. */
    private static Route keptRoute(Route route, List<Route> routes) {
        return routes.stream()
                .filter(other -> other.queue().key().equals(route.queue().key()))
                .reduce(route, (_, later) -> later);
    }

    private static boolean isSameHost(Route a, Route b) {
        return a.queue().host().equalsIgnoreCase(b.queue().host());
    }

    private static void checkService(Configuration configuration, Route route, List<Finding> findings) {
        if (configuration.services().isPresent()) {
            Set<String> names =
                    configuration.services().get().stream().map(Service::name).collect(Collectors.toSet());
            if (!names.contains(route.queue().service())) {
                findings.add(new Finding.UnknownService(route));
            }
        }
    }

    private static void checkPolicy(Route route, List<Finding> findings) {
        Queue queue = route.queue();
        if (queue.maxAttempts() < 1) {
            findings.add(new Finding.TooFewAttempts(route));
        }
        if (!queue.allowance().isPositive()) {
            findings.add(new Finding.TargetNotPositive(route));
        }
        if (queue.stretch() < 1) {
            findings.add(new Finding.StretchBelowOne(route));
        }
    }
}
