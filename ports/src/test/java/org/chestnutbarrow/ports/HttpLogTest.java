package org.chestnutbarrow.ports;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.time.Duration;
import org.chestnutbarrow.http.HttpClient;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.UnavailableException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which outcome the log client reports for each response or failure. */
public final class HttpLogTest {
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(200);
    private static final byte[] RECORD = {1, 0, -1};

    private HttpClient client;
    private FakePlatform platform;
    private Log log;

    @BeforeMethod
    void open() throws Exception {
        client = new HttpClient(4_000_000);
        platform = new FakePlatform();
        log = new HttpLog(client, platform.address(), LONG_TIMEOUT, LONG_TIMEOUT);
    }

    @AfterMethod
    void close() {
        client.close();
        platform.close();
    }

    /** Records and offsets must be transmitted unchanged. */
    @Test
    void appendsAndReadsBytes() throws Exception {
        platform.respondWith(200, "{\"offset\":9007199254740993}");
        assertEquals(log.append("change&1 ", RECORD), 9_007_199_254_740_993L);
        assertEquals(platform.lastRequest().target(), "/v1/log?id=change%261+");
        assertEquals(platform.lastRequest().body(), RECORD);
        platform.respondWith(200, "{\"first\":3,\"next\":8,\"records\":[{\"offset\":7,\"data\":\"AQD/\"}]}");
        Log.Batch batch = log.read(7, 10, Duration.ofMillis(250));
        assertEquals(platform.lastRequest().target(), "/v1/log?from=7&max=10&waitMs=250");
        assertEquals(batch.first(), 3);
        assertEquals(batch.next(), 8);
        assertEquals(batch.records().getFirst().offset(), 7);
        assertEquals(batch.records().getFirst().data(), RECORD);
    }

    @DataProvider
    Object[][] failedAppends() {
        return new Object[][] {
            {503, "{}", NotRunException.class},
            {400, "{}", NotRunException.class},
            {413, "{}", NotRunException.class},
            {500, "{}", OutcomeUnknownException.class},
            {502, "{}", OutcomeUnknownException.class},
            {200, "{}", OutcomeUnknownException.class},
            {200, "{\"offset\":1.5}", OutcomeUnknownException.class},
            {200, "no json", OutcomeUnknownException.class},
        };
    }

    /** A record that may have been appended must not be reported as not appended. */
    @Test(dataProvider = "failedAppends")
    void failedAppendIsClassified(int status, String body, Class<? extends Exception> error) {
        platform.respondWith(status, body);
        assertThrows(error, () -> log.append("x", RECORD));
        assertEquals(platform.requestCount(), 1, "an append must not be repeated automatically");
    }

    /** A lost response must be reported as an unknown outcome, not as not run. */
    @Test
    void lostResponseIsUnknown() {
        Log impatientLog = new HttpLog(client, platform.address(), SHORT_TIMEOUT, SHORT_TIMEOUT);
        platform.dropResponses();
        assertThrows(OutcomeUnknownException.class, () -> impatientLog.append("x", RECORD));
        assertThrows(UnavailableException.class, () -> impatientLog.read(0, 1, Duration.ZERO));
    }

    /** An append is not run if the log is down, and oversized records must not be sent. */
    @Test
    void nothingSentIsNotRun() {
        assertThrows(IllegalArgumentException.class, () -> log.append("x", new byte[HttpLog.MAX_RECORD_BYTES + 1]));
        platform.close();
        assertThrows(NotRunException.class, () -> log.append("x", RECORD));
        assertThrows(UnavailableException.class, () -> log.read(0, 1, Duration.ZERO));
    }

    @DataProvider
    Object[][] failedReads() {
        return new Object[][] {
            {503, "{}"},
            {200, "{\"first\":0,\"next\":1}"},
            {200, "{\"first\":0,\"next\":1,\"records\":[{\"offset\":0}]}"},
            {200, "{\"first\":0,\"next\":1,\"records\":[{\"offset\":0,\"data\":\"%\"}]}"},
            {200, "{\"first\":0,\"next\":1,\"records\":[{\"offset\":0,\"data\":5}]}"},
        };
    }

    /** A malformed batch must not be taken for the end of the log. */
    @Test(dataProvider = "failedReads")
    void failedReadIsUnavailable(int status, String body) {
        platform.respondWith(status, body);
        assertThrows(UnavailableException.class, () -> log.read(0, 1, Duration.ZERO));
    }
}
