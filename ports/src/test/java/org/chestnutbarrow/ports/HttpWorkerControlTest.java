package org.chestnutbarrow.ports;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.chestnutbarrow.http.HttpClient;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.CheckpointId;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.RefusedException;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.StaleEpochException;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.TaskState;
import org.chestnutbarrow.model.TaskStatus;
import org.chestnutbarrow.model.UnavailableException;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.ports.WorkerControl.StartCommand;
import org.chestnutbarrow.ports.WorkerControl.TaskCommand;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the bodies of worker control and host list, and which outcome is reported for each response or failure. */
public final class HttpWorkerControlTest {
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(30);
    private static final DaemonId SELF = new DaemonId("a");
    private static final Attempt ATTEMPT = new Attempt(3, 4);
    private static final Resources DEMAND = new Resources(0, 0, 500, 64, 1);
    private static final TaskId TASK = TaskId.parse("job/7");
    private static final String DEMAND_JSON =
            "{\"slots\":0,\"connections\":0,\"milliCores\":500,\"memoryMiB\":64,\"accelerators\":1}";
    private static final String TASK_JSON = "{\"task\":\"job/7\",\"workClass\":\"batch\",\"shard\":5,"
            + "\"attempt\":{\"epoch\":3,\"sequence\":4},\"state\":\"CHECKPOINTED\",\"checkpoint\":\"cp\",\"demand\":"
            + DEMAND_JSON + ",\"leaseRemainingMs\":12}";
    private static final TaskStatus STATUS = new TaskStatus(
            TASK,
            "batch",
            5,
            ATTEMPT,
            TaskState.CHECKPOINTED,
            Optional.of(new CheckpointId("cp")),
            DEMAND,
            Duration.ofMillis(12));
    private static final StartCommand START = new StartCommand(
            9, TASK, "batch", 5, ATTEMPT, DEMAND, Duration.ofSeconds(1), Duration.ofMillis(3500), Optional.empty());
    private static final String STALE_EPOCH_JSON = "{\"error\":\"stale-epoch\",\"epoch\":12}";

    private HttpClient client;
    private FakePlatform platform;
    private WorkerControl control;
    private Address worker;

    @BeforeMethod
    void open() throws Exception {
        client = new HttpClient(1_000_000);
        platform = new FakePlatform();
        worker = platform.address();
        control = new HttpWorkerControl(client, LONG_TIMEOUT);
    }

    @AfterMethod
    void close() {
        client.close();
        platform.close();
    }

    /** Tests the bodies of the lease commands. */
    @Test
    void acquiresAndReleasesLeases() throws Exception {
        platform.respondWith(
                200, "{\"epoch\":2,\"incarnation\":8,\"requestsInFlight\":6,\"tasks\":[" + TASK_JSON + "]}");
        WorkerControl.Grant grant = control.lease(worker, SELF, 0, Duration.ofSeconds(2));
        assertEquals(grant, new WorkerControl.Grant(2, 8, List.of(STATUS), 6));
        assertRequest("POST", "/v1/lease", "{\"holder\":\"a\",\"epoch\":0,\"ttlMs\":2000}");
        control.release(worker, SELF, 2);
        assertRequest("DELETE", "/v1/lease", "{\"holder\":\"a\",\"epoch\":2}");
        platform.respondWith(409, "{\"error\":\"held\",\"holder\":\"b\",\"epoch\":3,\"remainingMs\":10}");
        assertThrows(RefusedException.class, () -> control.lease(worker, SELF, 0, LONG_TIMEOUT));
        platform.respondWith(409, STALE_EPOCH_JSON);
        assertEquals(
                expectThrows(StaleEpochException.class, () -> control.lease(worker, SELF, 2, LONG_TIMEOUT))
                        .epoch(),
                12);
        assertThrows(StaleEpochException.class, () -> control.release(worker, SELF, 2));
    }

    /** Tests the body of a start without a checkpoint and the parsed status. */
    @Test
    void startsAttempts() throws Exception {
        platform.respondWith(200, TASK_JSON);
        assertEquals(control.start(worker, START), STATUS);
        assertRequest(
                "POST",
                "/v1/tasks/start",
                "{\"epoch\":9,\"task\":\"job/7\",\"shard\":5,\"attempt\":{\"epoch\":3,\"sequence\":4},\"demand\":"
                        + DEMAND_JSON + ",\"runMs\":1000,\"leaseMs\":3500,\"resumeFrom\":null,"
                        + "\"workClass\":\"batch\",\"cpuShare\":100}");
    }

    @DataProvider
    Object[][] failedStarts() {
        return new Object[][] {
            {409, "{\"error\":\"no-room\"}", RefusedException.class},
            {409, "{\"error\":\"older-attempt\"}", RefusedException.class},
            {409, STALE_EPOCH_JSON, StaleEpochException.class},
            {409, "no json", OutcomeUnknownException.class},
            {400, "{}", RefusedException.class},
            {500, "{}", OutcomeUnknownException.class},
            {503, "{}", OutcomeUnknownException.class},
            {200, "{}", OutcomeUnknownException.class},
            {200, TASK_JSON.replace("\"sequence\":4", "\"sequence\":0"), OutcomeUnknownException.class},
        };
    }

    /** A task that may be running must not be reported as not started. */
    @Test(dataProvider = "failedStarts")
    void failedStartIsClassified(int status, String body, Class<? extends Exception> error) {
        platform.respondWith(status, body);
        assertThrows(error, () -> control.start(worker, START));
        assertEquals(platform.requestCount(), 1);
    }

    /** A lost response to a start is an unknown outcome; a start that was not sent is not run. */
    @Test
    void lostResponseToStartIsUnknown() {
        platform.dropResponses();
        WorkerControl impatientControl = new HttpWorkerControl(client, Duration.ofMillis(200));
        assertThrows(OutcomeUnknownException.class, () -> impatientControl.start(worker, START));
        assertThrows(UnavailableException.class, () -> impatientControl.lease(worker, SELF, 0, LONG_TIMEOUT));
        platform.close();
        assertThrows(NotRunException.class, () -> control.start(worker, START));
        assertThrows(UnavailableException.class, () -> control.usage(worker));
    }

    /** Tests the paths and bodies of the other commands. */
    @Test
    void controlsTasks() throws Exception {
        platform.respondWith(200, TASK_JSON);
        String body = "{\"epoch\":9,\"task\":\"job/7\",\"attempt\":{\"epoch\":3,\"sequence\":4}";
        assertEquals(control.apply(worker, 9, TASK, ATTEMPT, new TaskCommand.Stop()), STATUS);
        assertRequest("POST", "/v1/tasks/stop", body + "}");
        control.apply(worker, 9, TASK, ATTEMPT, new TaskCommand.Checkpoint());
        assertRequest("POST", "/v1/tasks/checkpoint", body + "}");
        control.apply(worker, 9, TASK, ATTEMPT, new TaskCommand.Throttle(40));
        assertRequest("POST", "/v1/tasks/throttle", body + ",\"percent\":40}");
        control.apply(worker, 9, TASK, ATTEMPT, new TaskCommand.Forget());
        assertRequest("POST", "/v1/tasks/forget", body + "}");
        platform.respondWith(200, "{\"tasks\":[" + TASK_JSON + "]}");
        assertEquals(control.fence(worker, 9, 5, 6), List.of(STATUS));
        assertRequest("POST", "/v1/fence", "{\"epoch\":9,\"shard\":5,\"shardEpoch\":6}");
        platform.respondWith(404, "{\"error\":\"unknown\"}");
        assertThrows(RefusedException.class, () -> control.apply(worker, 9, TASK, ATTEMPT, new TaskCommand.Stop()));
    }

    /** Tests the units of usage reports. */
    @Test
    void readsUsage() throws Exception {
        platform.respondWith(
                200,
                "{\"asOf\":1000,\"tasks\":[{\"task\":\"job/7\",\"workClass\":\"batch\",\"milliCores\":450,"
                        + "\"memoryMiB\":60,\"progress\":0.5}],\"requests\":{\"inFlight\":3,\"p99Micros\":1500}}");
        WorkerControl.TaskUsage task = new WorkerControl.TaskUsage(TASK, "batch", 450, 60, 0.5);
        assertEquals(
                control.usage(worker),
                new WorkerControl.Usage(Instant.ofEpochMilli(1000), List.of(task), 3, Duration.ofNanos(1_500_000)));
    }

    /** A malformed host must not hide all others, and a malformed list must not be taken for an empty one. */
    @Test
    void readsHostList() throws Exception {
        HostList hosts = new HttpHostList(client, platform.address(), LONG_TIMEOUT);
        String host = "{\"id\":\"w\",\"availabilityZone\":\"z\",\"rack\":\"r\",\"control\":\"127.0.0.1:1\","
                + "\"endpoint\":\"127.0.0.1:2\",\"state\":\"LEAVING\",\"capacity\":" + DEMAND_JSON + "}";
        String malformed = host.replace("127.0.0.1:1", "some-name:1");
        platform.respondWith(200, "{\"asOf\":5,\"hosts\":[" + malformed + "," + host + "]}");
        Worker expected = new Worker(
                new WorkerId("w"),
                new AvailabilityZone("z"),
                "r",
                Address.parse("127.0.0.1:1"),
                Address.parse("127.0.0.1:2"),
                true,
                DEMAND);
        assertEquals(hosts.fetch(), new HostList.Listing(Instant.ofEpochMilli(5), List.of(expected)));
        platform.respondWith(200, "{\"asOf\":5}");
        assertThrows(UnavailableException.class, hosts::fetch);
    }

    private void assertRequest(String method, String target, String json) {
        assertEquals(platform.lastRequest().method(), method);
        assertEquals(platform.lastRequest().target(), target);
        // JsonNode.equals ignores the order of fields; TestNG's assertEquals does not.
        JsonNode expected = Json.parse(json.getBytes(StandardCharsets.UTF_8));
        assertTrue(
                expected.equals(Json.parse(platform.lastRequest().body())),
                platform.lastRequest().text());
    }
}
