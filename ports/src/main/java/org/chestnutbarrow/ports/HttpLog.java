package org.chestnutbarrow.ports;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.chestnutbarrow.http.Headers;
import org.chestnutbarrow.http.HttpClient;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.UnavailableException;

/**
 * Client of the log over HTTP. Safe for use by several threads.
 *
 * <p>Invariant: an append is reported as not run only if no byte was sent, or if the log responded with 503 or a client
 * error (4xx).
 *
 * <pre>{@code
 * Log log = new HttpLog(client, Address.parse("127.0.0.1:7000"), Duration.ofSeconds(1), Duration.ofSeconds(1));
 * long offset = log.append("change-1", record);
 * }</pre>
 */
public final class HttpLog implements Log {
    /** Maximum size of a record. */
    public static final int MAX_RECORD_BYTES = 1024 * 1024;

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final HttpClient client;
    private final Address address;
    private final Duration appendTimeout;
    private final Duration readTimeout;

    /**
     * Creates a client.
     *
     * @param client HTTP client whose body limit also limits a batch; records grow by one third in Base64
     * @param address address of the log
     * @param appendTimeout timeout of an append
     * @param readTimeout timeout of a read, in addition to the time that it waits for a record
     */
    public HttpLog(HttpClient client, Address address, Duration appendTimeout, Duration readTimeout) {
        Checks.require(appendTimeout.isPositive() && readTimeout.isPositive(), "timeouts must be positive");
        this.client = client;
        this.address = address;
        this.appendTimeout = appendTimeout;
        this.readTimeout = readTimeout;
    }

    @Override
    public long append(String id, byte[] record) throws NotRunException, OutcomeUnknownException {
        Checks.require(record.length <= MAX_RECORD_BYTES, "record is longer than " + MAX_RECORD_BYTES + " bytes");
        String target = "/v1/log?id=" + URLEncoder.encode(id, StandardCharsets.UTF_8);
        Headers headers = Headers.of("Content-Type", "application/octet-stream");
        HttpResponse response = client.send(address, new HttpRequest("POST", target, headers, record), appendTimeout);
        if (response.status() == OK) {
            return offset(response);
        }
        if (response.status() == UNAVAILABLE) {
            throw new NotRunException("log " + address + " is unavailable", "try again later");
        }
        if (Responses.isClientError(response)) {
            throw new NotRunException(
                    "log rejected record " + id + ": " + Responses.describe(response), "correct the record");
        }
        throw unknown(Responses.describe(response), null);
    }

    @Override
    public Batch read(long from, int maxRecords, Duration wait) throws UnavailableException {
        String target = "/v1/log?from=" + from + "&max=" + maxRecords + "&waitMs=" + wait.toMillis();
        try {
            HttpResponse response = client.send(address, HttpRequest.get(target), readTimeout.plus(wait));
            if (response.status() != OK) {
                throw unavailable(Responses.describe(response), null);
            }
            JsonNode body = Json.parse(response.body());
            return new Batch(
                    Json.number(body, "first"), Json.number(body, "next"), Json.list(body, "records", HttpLog::entry));
        } catch (NotRunException | OutcomeUnknownException | IllegalArgumentException e) {
            throw unavailable(e.getMessage(), e);
        }
    }

    private long offset(HttpResponse response) throws OutcomeUnknownException {
        try {
            return Json.number(Json.parse(response.body()), "offset");
        } catch (IllegalArgumentException e) {
            throw unknown(e.getMessage(), e);
        }
    }

    private static Entry entry(JsonNode node) {
        return new Entry(Json.number(node, "offset"), Json.binary(node, "data"));
    }

    private OutcomeUnknownException unknown(String reason, Exception cause) {
        return new OutcomeUnknownException(
                "append to log " + address + " has an unknown outcome: " + reason,
                "read the log for the record's id",
                cause);
    }

    private UnavailableException unavailable(String reason, Exception cause) {
        return new UnavailableException("cannot read log " + address + ": " + reason, "try again later", cause);
    }
}
