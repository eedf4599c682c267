package org.chestnutbarrow.configcheck;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.IntStream;
import org.chestnutbarrow.batch.Account;
import org.chestnutbarrow.batch.Queue;
import org.chestnutbarrow.configcheck.Configuration.ClientAccount;
import org.chestnutbarrow.configcheck.Configuration.Limit;
import org.chestnutbarrow.configcheck.Configuration.Route;
import org.chestnutbarrow.configcheck.Configuration.Service;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.node.ControlState;
import org.chestnutbarrow.node.KeyDigest;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against configurations that nodes take but that do not do what they say, and against findings in good ones. */
public class ConfigurationChecksTest {
    private static final NodeLimits NODE_LIMITS =
            new NodeLimits(Map.of(Limit.BODY_BYTES, 1000L, Limit.HEADER_BYTES, 50L), 250);

    private static Queue queue(String host, String prefix) {
        return new Queue(host, prefix, "s", 0, 1, 1, Duration.ofMillis(1));
    }

    private static List<Route> routes(Queue... queues) {
        return IntStream.range(0, queues.length)
                .mapToObj(i -> new Route(i, queues[i], false))
                .toList();
    }

    private static ClientAccount account(int index, String name, double weight, String... keys) {
        return new ClientAccount(
                index,
                new Account(name, weight, weight, Resources.NONE),
                Arrays.stream(keys).map(KeyDigest::of).toList());
    }

    private static List<Finding> check(List<Route> routes) {
        return check(routes, Optional.empty(), Map.of(), Optional.empty());
    }

    private static List<Finding> check(
            List<Route> routes,
            Optional<List<Service>> services,
            Map<Limit, Long> limits,
            Optional<List<ClientAccount>> accounts) {
        Configuration configuration = new Configuration(OptionalLong.of(4), routes, services, limits, accounts);
        return ConfigurationChecks.check(configuration, NODE_LIMITS, OptionalLong.of(3));
    }

    @Test
    public void findsNothingInSoundConfiguration() {
        List<Route> routes = routes(queue("h", "/a/"), queue("h", "/a/b/"), queue("h", "/b/"), queue("g", "/a/"));
        Optional<List<ClientAccount>> accounts = Optional.of(List.of(account(0, "t", 1, "k"), account(1, "u", 1, "l")));
        Optional<List<Service>> services = Optional.of(List.of(new Service(0, "s"), new Service(1, "idle")));
        assertEquals(check(routes, services, Map.of(Limit.BODY_BYTES, 1000L), accounts), List.of());
    }

    @DataProvider
    public Object[][] routesThatDoNotMatch() {
        List<Route> same = routes(queue("h", "/a/"), queue("h", "/a/"), queue("h", "/a/"));
        List<Route> sameKey = routes(queue("h/x", "/a/"), queue("h", "/x/a/"));
        List<Route> otherCase = routes(queue("h", "/a/"), queue("H", "/a/"));
        List<Route> longer = routes(queue("h", "/a/r"), queue("H", "/a/"), queue("g", "/a/"));
        return new Object[][] {
            {
                same,
                List.of(
                        new Finding.ReplacedRoute(same.get(0), same.get(2)),
                        new Finding.ReplacedRoute(same.get(1), same.get(2)))
            },
            {
                sameKey,
                List.of(
                        new Finding.UnmatchableHost(sameKey.get(0)),
                        new Finding.ReplacedRoute(sameKey.get(0), sameKey.get(1)))
            },
            {otherCase, List.of(new Finding.AmbiguousRoute(otherCase.get(0), otherCase.get(1)))},
            {longer, List.of(new Finding.ShadowedIds(longer.get(1), longer.get(0), "r"))},
            {routes(queue("h", "a/")), List.of(new Finding.UnmatchablePrefix(new Route(0, queue("h", "a/"), false)))},
            {routes(queue("h", "")), List.of(new Finding.UnmatchablePrefix(new Route(0, queue("h", ""), false)))},
            {routes(queue("", "/a")), List.of(new Finding.UnmatchableHost(new Route(0, queue("", "/a"), false)))},
            {List.of(), List.of(new Finding.NoRoutes())},
        };
    }

    @Test(dataProvider = "routesThatDoNotMatch")
    public void findsRoutesThatDoNotMatch(List<Route> routes, List<Finding> expected) {
        assertEquals(check(routes), expected);
    }

    /** Guards against a check whose idea of matching differs from that of the nodes. */
    @Test
    public void longerPrefixTakesIdsOnNodesToo() {
        Queue shorter = queue("h", "/a/");
        Queue longer = queue("h", "/a/r");
        ControlState state = new ControlState(1, Map.of(shorter.key(), shorter, longer.key(), longer), Set.of());
        assertEquals(state.route("H", "/a/r1"), Optional.of(longer));
        assertEquals(state.route("H", "/a/q1"), Optional.of(shorter));
    }

    @Test
    public void findsPoliciesThatContradictThemselves() {
        Route route = new Route(5, new Queue("h", "/a/", "gone", 0, 0, 0.9, Duration.ZERO), false);
        assertEquals(
                check(
                        List.of(route),
                        Optional.of(List.of(new Service(0, "s"), new Service(2, "s"))),
                        Map.of(),
                        Optional.empty()),
                List.of(
                        new Finding.UnknownService(route),
                        new Finding.TooFewAttempts(route),
                        new Finding.TargetNotPositive(route),
                        new Finding.StretchBelowOne(route),
                        new Finding.RepeatedService(new Service(2, "s"), new Service(0, "s"))));
    }

    @Test
    public void findsLimitsThatContradictNodes() {
        List<Route> routes = routes(queue("h", "/a/"));
        Map<Limit, Long> limits = Map.of(Limit.BODY_BYTES, 249L, Limit.HEADER_BYTES, 51L, Limit.IDLE_TIMEOUT_MS, 0L);
        assertEquals(
                check(routes, Optional.empty(), limits, Optional.empty()),
                List.of(
                        new Finding.LimitAboveNodes(Limit.HEADER_BYTES, 51, 50),
                        new Finding.BodyLimitBelowJob(249, 250),
                        new Finding.LimitNotPositive(Limit.IDLE_TIMEOUT_MS, 0)));
    }

    @Test
    public void findsAccountsThatContradictEachOther() {
        List<Route> routes = routes(queue("h", "/a/"));
        ClientAccount first = account(0, "t", 1, "k", "shared");
        ClientAccount second = account(1, "u", 0, "shared");
        ClientAccount third = account(2, "t", 1);
        assertEquals(
                check(routes, Optional.empty(), Map.of(), Optional.of(List.of(first, second, third))),
                List.of(
                        new Finding.ReplacedAccount(first, third),
                        new Finding.SharedKey(first, 1, second, 0),
                        new Finding.NoShare(second),
                        new Finding.NoKeys(third)));
        assertEquals(
                check(routes, Optional.empty(), Map.of(), Optional.of(List.of())), List.of(new Finding.NoCallers()));
    }

    @Test
    public void findsVersionsThatNodesIgnore() {
        Configuration configuration = new Configuration(
                OptionalLong.of(-1), routes(queue("h", "/a/")), Optional.empty(), Map.of(), Optional.empty());
        assertEquals(
                ConfigurationChecks.check(configuration, NODE_LIMITS, OptionalLong.of(-1)),
                List.of(new Finding.NegativeVersion(-1), new Finding.VersionNotAbove(-1, -1)));
    }
}
