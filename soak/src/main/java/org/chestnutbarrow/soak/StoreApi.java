package org.chestnutbarrow.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.chestnutbarrow.http.Headers;
import org.chestnutbarrow.http.HttpHandler;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;

/** The HTTP interface of the platform's store. Thread-safe; has no state of its own. */
final class StoreApi implements HttpHandler {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int FORBIDDEN = 403;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int KILOBYTE = 1024;

    private final Store store;

    StoreApi(Store store) {
        this.store = store;
    }

    @Override
    public HttpResponse handle(HttpRequest request) throws InterruptedException {
        return switch (request.path()) {
            case "/-/log-append" -> append(request);
            case "/-/log-read" -> read(request);
            case "/-/log-newest" -> newest(request);
            case "/-/log-join" -> join(Json.parse(request.body()));
            case "/-/log-leave" -> {
                store.group().leave(Json.parse(request.body()).path("member").asText());
                yield Json.response(OK, Json.object());
            }
            case "/-/log-commit" -> Json.response(OK, Json.object());
            case "/-/log-owners" -> owners();
            default -> HttpResponse.text(NOT_FOUND, "");
        };
    }

    private LogPartition partition(HttpRequest request) {
        return store.partition(
                new OwnerGroup.Part(request.query("topic", ""), Integer.parseInt(request.query("part", "0"))));
    }

    private static String decode(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }

    private HttpResponse append(HttpRequest request) {
        if (Store.READ_ONLY.contains(request.query("topic", ""))) {
            return HttpResponse.text(FORBIDDEN, "");
        }
        if (!isWithinLimits(ByteBuffer.wrap(request.body()))) {
            store.countRefusedForSize();
            return Json.response(BAD_REQUEST, Json.object().put("reason", "size"));
        }
        List<LogPartition.Entry> entries = entries(ByteBuffer.wrap(request.body()));
        String producer = decode(request.query("producer", ""));
        String sequence = request.query("seq", "");
        LogPartition.AppendResult result = producer.isEmpty()
                ? partition(request).append(entries)
                : partition(request)
                        .append(
                                entries,
                                new LogPartition.Producer(
                                        producer,
                                        Long.parseLong(request.query("epoch", "0")),
                                        sequence.isEmpty()
                                                ? OptionalLong.empty()
                                                : OptionalLong.of(Long.parseLong(sequence))));
        return switch (result) {
            case LogPartition.AppendResult.Stored(long offset, long end) ->
                Json.response(OK, Json.object().put("offset", offset).put("end", end));
            case LogPartition.AppendResult.Fenced(long epoch) ->
                Json.response(CONFLICT, Json.object().put("reason", "fenced").put("epoch", epoch));
            case LogPartition.AppendResult.WrongSequence(long expected) ->
                Json.response(CONFLICT, Json.object().put("reason", "seq").put("expected", expected));
        };
    }

    private static boolean isWithinLimits(ByteBuffer in) {
        if (in.remaining() > Store.REQUEST_BYTES) {
            return false;
        }
        while (in.hasRemaining()) {
            int length = in.getInt();
            if (length > Store.RECORD_BYTES) {
                return false;
            }
            in.position(in.position() + length);
        }
        return true;
    }

    private static List<LogPartition.Entry> entries(ByteBuffer in) {
        List<LogPartition.Entry> entries = new ArrayList<>();
        while (in.hasRemaining()) {
            byte[] content = new byte[in.getInt()];
            in.get(content);
            ByteBuffer rest = ByteBuffer.wrap(content);
            byte[] key = new byte[rest.get() & 0xff];
            rest.get(key);
            byte[] value = new byte[rest.remaining()];
            rest.get(value);
            entries.add(new LogPartition.Entry(new String(key, StandardCharsets.UTF_8), value));
        }
        return entries;
    }

    private HttpResponse read(HttpRequest request) throws InterruptedException {
        LogPartition partition = partition(request);
        Optional<LogPartition.Page> page = partition.read(
                Long.parseLong(request.query("from", "0")),
                Integer.parseInt(request.query("max_kb", "256")) * KILOBYTE,
                Duration.ofMillis(Long.parseLong(request.query("wait_ms", "0"))));
        if (page.isEmpty()) {
            return Json.response(GONE, Json.object().put("first", partition.first()));
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(ByteBuffer.allocate(2 * Long.BYTES)
                .putLong(page.get().end())
                .putLong(page.get().first())
                .array());
        for (LogPartition.Entry entry : page.get().entries()) {
            byte[] key = entry.keyBytes();
            out.writeBytes(ByteBuffer.allocate(Integer.BYTES + 1)
                    .putInt(1 + key.length + entry.value().length)
                    .put((byte) key.length)
                    .array());
            out.writeBytes(key);
            out.writeBytes(entry.value());
        }
        return new HttpResponse(OK, Headers.EMPTY, out.toByteArray());
    }

    private HttpResponse newest(HttpRequest request) {
        LogPartition.NewestPage page = partition(request).newest(decode(request.query("after", "")));
        ObjectNode answer = Json.object();
        ArrayNode items = answer.putArray("items");
        for (LogPartition.Item item : page.items()) {
            items.addObject().put("key", item.key()).put("value", item.value()).put("offset", item.offset());
        }
        return Json.response(OK, answer.put("more", page.more()).put("end", page.end()));
    }

    private HttpResponse join(JsonNode body) {
        OwnerGroup.Dealt dealt = store.group()
                .join(
                        body.path("member").asText(),
                        Duration.ofMillis(body.path("ttl_ms").asLong()));
        ObjectNode answer = Json.object().put("generation", dealt.generation());
        ArrayNode parts = answer.putArray("parts");
        dealt.parts()
                .forEach(part ->
                        parts.addArray().add(part.topic()).add(part.partition()).add(0));
        return Json.response(OK, answer);
    }

    private HttpResponse owners() {
        ObjectNode answer = Json.object();
        ArrayNode rows = answer.putArray("owners");
        for (OwnerGroup.Owned owned : store.group().owners()) {
            rows.addArray()
                    .add(owned.part().topic())
                    .add(owned.part().partition())
                    .add(owned.member())
                    .add(0);
        }
        return Json.response(OK, answer);
    }
}
