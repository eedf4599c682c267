package org.chestnutbarrow.ports;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.time.Duration;
import java.util.List;
import org.chestnutbarrow.http.HttpClient;
import org.chestnutbarrow.model.UnavailableException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a host list that cannot be followed because another writer left an odd entry among the workers. */
public class HttpHostListTest {
    private static final String HOST = "{\"id\":\"ID\",\"availabilityZone\":\"z\",\"rack\":\"r\","
            + "\"control\":\"10.0.0.1:80\",\"endpoint\":\"10.0.0.1:81\",\"state\":\"LIVE\","
            + "\"capacity\":{\"slots\":8,\"connections\":64,\"milliCores\":64000,\"memoryMiB\":1000,"
            + "\"accelerators\":0}}";
    private static final int MAX_RESPONSE_BYTES = 32 * 1024 * 1024;

    private static String host(String id) {
        return HOST.replace("ID", id);
    }

    private static String nested(int depth) {
        return "[".repeat(depth) + "]".repeat(depth);
    }

    @DataProvider
    public Object[][] oddEntries() {
        String odd = host("odd");
        return new Object[][] {
            {nested(5_000_000)},
            {"{\"a\":".repeat(100_000) + "1" + "}".repeat(100_000)},
            {odd.replace("\"rack\":\"r\"", "\"rack\":" + nested(2_000))},
            {odd.replace("64000", "9".repeat(2_000))},
            {odd.replace("64000", "99999999999999999999")},
            {odd.replace("64000", "4294967297")},
            {odd.replace("64000", "1e400")},
            {odd.replace("64000", "-1")},
            {odd.replace("\"memoryMiB\":1000", "\"memoryMiB\":" + "1".repeat(100_000) + "e1")},
            {odd.replace(":80\"", ":65536\"")},
            {odd.replace(":80\"", ":-1\"")},
            {odd.replace(":80\"", ":99999999999999999999\"")},
            {odd.replace(":81\"", ":\"")},
            {odd.replace("10.0.0.1:80", "beef:80")},
            {odd.replace("LIVE", "UNHEARD-OF")},
            {odd.replace("\"z\"", "\"\"")},
            {odd.replace("64000", "NaN")},
            {"null"},
            {"1e400"},
            {"\"" + "x".repeat(100_000) + "\""},
            {"\"]},{\""},
            {"\\"},
        };
    }

    @Test(dataProvider = "oddEntries")
    public void otherHostsOfTheListAreRead(String odd) throws Exception {
        assertEquals(
                fetch("{\"asOf\":5,\"hosts\":[" + host("a") + "," + odd + ", " + host("b") + "]}"), List.of("a", "b"));
        assertEquals(fetch("{\"hosts\" : [" + odd + "], \"asOf\" : 5}"), List.of());
    }

    /** Guards against entries that are split at characters within their texts. */
    @Test
    public void separatorsInTextsAreNoSeparators() throws Exception {
        String escaped = host("a").replace("\"rack\"", "\"note, \\\"] } \\\\\":\"[,{\\\"\",\"rack\"");
        assertEquals(fetch("{\"asOf\":5,\"hosts\":[" + escaped + "," + host("b") + "]}"), List.of("a", "b"));
        assertEquals(fetch(" {\"asOf\":5,\"hosts\":[ ]} "), List.of());
    }

    @DataProvider
    public Object[][] unreadableLists() {
        return new Object[][] {
            {"{\"asOf\":5}"},
            {"{\"hosts\":[]}"},
            {"{\"asOf\":1e400,\"hosts\":[]}"},
            {"{\"asOf\":" + nested(100_000) + ",\"hosts\":[]}"},
            {"{\"asOf\":5,\"hosts\":{}}"},
            {"{\"asOf\":5,\"hosts\":[" + host("a")},
            {"{\"asOf\":5,\"hosts\":[]}]"},
            {"{\"asOf\":5,\"hosts\":[}"},
            {"{\"asOf\":5,\"hosts"},
            {"[]"},
            {""},
        };
    }

    /** Guards against taking a list that is cut or malformed for a shorter one. */
    @Test(dataProvider = "unreadableLists")
    public void malformedListIsUnavailable(String body) {
        assertThrows(UnavailableException.class, () -> fetch(body));
    }

    private static List<String> fetch(String body) throws Exception {
        try (FakePlatform platform = new FakePlatform();
                HttpClient client = new HttpClient(MAX_RESPONSE_BYTES)) {
            platform.respondWith(200, body);
            HostList.Listing listing = new HttpHostList(client, platform.address(), Duration.ofSeconds(30)).fetch();
            return listing.workers().stream().map(worker -> worker.id().value()).toList();
        }
    }
}
