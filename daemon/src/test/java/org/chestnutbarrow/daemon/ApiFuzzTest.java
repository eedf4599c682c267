package org.chestnutbarrow.daemon;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.chestnutbarrow.format.Json;
import org.chestnutbarrow.http.Headers;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.membership.Confirmation;
import org.chestnutbarrow.model.TimeSource;
import org.testng.annotations.Test;

/** Checks that the HTTP API rejects malformed bodies with a stated reason and not with an internal error. */
public class ApiFuzzTest {
    private static final int ROUNDS_PER_PATH = 400;
    private static final Set<Integer> EXPECTED_STATUSES = Set.of(200, 201, 202, 400, 404, 409, 503, 504);
    private static final List<String> INSERTED_TOKENS =
            List.of("{", "}", "[", "]", "\"", ",", "null", "-1", "1e999", "\\ud800", "\u0000", "[".repeat(3000));
    private static final String CONFIGURATION = """
            {"id": "c1", "baseVersion": -1, "author": "kata", "declarations": {
              "availabilityZones": ["a"], "teams": {"t": {"quota": {"cores": "8 cores", "memory": "8GiB"}}},
              "classes": {"night": {"team": "t", "target": {"alwaysOn": true}, "demand": {"cores": "1 cores"}}}}}
            """;

    @Test
    public void rejectsMutatedBodiesWithAReason() throws Exception {
        FakeLog log = new FakeLog();
        try (LogNode node = new LogNode(log, "d1").started()) {
            ConfirmationWaiter confirmations = new ConfirmationWaiter(_ -> new Confirmation.InForce());
            ConfigApi config = new ConfigApi(node.catalog, node.writer, confirmations, List::of);
            JobApi jobs = new JobApi(node.catalog, node.writer, List::of, TimeSource.SYSTEM);
            HttpDispatcher dispatcher = new HttpDispatcher(null, config, jobs, null, new Metrics(), () -> true);
            assertTrue(send(dispatcher, "/v1/configuration", CONFIGURATION.getBytes(StandardCharsets.UTF_8)) < 300);
            fuzz(dispatcher, 1, "/v1/configuration", CONFIGURATION);
            fuzz(
                    dispatcher,
                    2,
                    "/v1/zones/a",
                    "{\"id\": \"z1\", \"baseVersion\": 0, \"author\": \"k\", \"state\": \"OUT\"}");
            fuzz(dispatcher, 3, "/v1/jobs", "{\"id\": \"j1\", \"workClass\": \"night\", \"tasks\": 2, \"runMs\": 10}");
            fuzz(dispatcher, 4, "/v1/jobs/cancel", "{\"jobs\": [\"j1\", \"j2\"]}");
        }
    }

    private static void fuzz(HttpDispatcher dispatcher, long seed, String path, String valid) throws Exception {
        Random random = new Random(seed);
        byte[] body = valid.getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < ROUNDS_PER_PATH; i++) {
            int status = send(dispatcher, path, mutate(body, random));
            assertTrue(
                    EXPECTED_STATUSES.contains(status), path + " seed " + seed + " round " + i + " status " + status);
        }
    }

    private static int send(HttpDispatcher dispatcher, String path, byte[] body) throws Exception {
        HttpResponse response = dispatcher.handle(new HttpRequest("POST", path, Headers.EMPTY, body));
        if (response.status() >= 400) {
            assertFalse(Json.MAPPER
                    .readTree(response.body())
                    .path("message")
                    .asText()
                    .isBlank());
        }
        return response.status();
    }

    private static byte[] mutate(byte[] valid, Random random) {
        int start = random.nextInt(valid.length);
        String head = new String(Arrays.copyOf(valid, start), StandardCharsets.UTF_8);
        int end = Math.min(valid.length, start + random.nextInt(12));
        String tail = new String(Arrays.copyOfRange(valid, end, valid.length), StandardCharsets.UTF_8);
        String token = random.nextInt(3) == 0 ? "" : INSERTED_TOKENS.get(random.nextInt(INSERTED_TOKENS.size()));
        return (head + token + (random.nextInt(5) == 0 ? "" : tail)).getBytes(StandardCharsets.UTF_8);
    }
}
