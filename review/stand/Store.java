package review.stand;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * The platform's store: logs with the newest value of each key, producers with epochs, and groups. One partition a topic
 * is used. Guarded by the monitor of this object.
 */
final class Store {
    static final ObjectMapper JSON = new ObjectMapper();
    private static final int RECORD_BYTES = 262_144;
    private static final int PARTS = 32;
    static final int HEARTBEAT_MS = 1000;
    /** Time of an answer. */
    private static final int ANSWER_MS = 4;

    /** What happens to a write: it is answered, or it is done after a delay and never answered. */
    record Fate(boolean answered, int delayMs) {
        static final Fate ANSWERED = new Fate(true, 0);
    }

    private static final class Topic {
        final List<byte[]> records = new ArrayList<>();
        final TreeMap<String, Integer> newest = new TreeMap<>();
        final Map<String, Producer> producers = new HashMap<>();
    }

    private static final class Producer {
        long epoch = -1;
        long lastSequence = -1;
        final LinkedHashMap<Long, String> answers = new LinkedHashMap<>();
    }

    private static final class Group {
        long generation;
        final TreeMap<String, Long> expiry = new TreeMap<>();
        final Map<String, Long> ttl = new HashMap<>();
        final TreeMap<String, String> owner = new TreeMap<>();
        final Map<String, String> target = new HashMap<>();
    }

    private final Map<String, Topic> topics = new HashMap<>();
    private final Map<String, Group> groups = new HashMap<>();
    private final Map<String, Long> heartbeats = new HashMap<>();
    private final Log log;
    /** Decides on writes of the system, by their topic and body. */
    volatile Function<Http.Request, Fate> fate = _ -> Fate.ANSWERED;

    Store(Log log) {
        this.log = log;
        Thread.ofVirtual().start(this::expireLoop);
    }

    /** While set, every call is refused with 503, and entries and memberships run out. */
    volatile boolean down;

    /** Writes the entry of a worker; it is removed after three heartbeat intervals of silence, also while the store is down. */
    synchronized void heartbeat(String id, String entry) {
        put("keyed.servers", id, entry);
        heartbeats.put(id, System.nanoTime());
    }

    Http.Response handle(Http.Request request) throws Exception {
        Thread.sleep(ANSWER_MS);
        if (down) {
            return Http.Response.json(503, "{}");
        }
        return switch (request.path()) {
            case "/-/log-append" -> append(request);
            case "/-/log-read" -> read(request);
            case "/-/log-newest" -> newest(request);
            case "/-/log-join" -> join(JSON.readTree(request.body()));
            case "/-/log-leave" -> leave(JSON.readTree(request.body()));
            case "/-/log-owners" -> owners(request.query().get("group"));
            default -> Http.Response.json(404, "{}");
        };
    }

    private Http.Response append(Http.Request request) throws Exception {
        Fate decided = request.body().length == 0 ? Fate.ANSWERED : fate.apply(request);
        if (decided.answered()) {
            return doAppend(request);
        }
        log.add("store: an append to " + request.query().get("topic") + " seq " + request.query().get("seq")
                + " gets no answer and is done in " + decided.delayMs() + " ms");
        Thread.ofVirtual().start(() -> {
            try {
                Thread.sleep(decided.delayMs());
                log.add("store: the unanswered append is done now: " + doAppend(request).status());
            } catch (Exception e) {
                log.add("store: " + e);
            }
        });
        return null;
    }

    private synchronized Http.Response doAppend(Http.Request request) throws IOException {
        Map<String, String> query = request.query();
        String name = query.get("topic");
        if (name.equals("keyed.op") || name.equals("keyed.servers")) {
            return Http.Response.json(403, "{}");
        }
        Topic topic = topics.computeIfAbsent(name, _ -> new Topic());
        Producer producer = null;
        if (query.containsKey("producer")) {
            producer = topic.producers.computeIfAbsent(query.get("producer"), _ -> new Producer());
            long epoch = Long.parseLong(query.getOrDefault("epoch", "0"));
            if (epoch < producer.epoch) {
                return Http.Response.json(409, "{\"reason\":\"fenced\"}");
            }
            boolean newEpoch = epoch > producer.epoch;
            if (newEpoch) {
                producer.epoch = epoch;
                producer.lastSequence = -1;
                producer.answers.clear();
            }
            if (query.containsKey("seq")) {
                long sequence = Long.parseLong(query.get("seq"));
                String known = producer.answers.get(sequence);
                if (known != null) {
                    return Http.Response.json(200, known);
                }
                if (producer.lastSequence >= 0 && sequence != producer.lastSequence + 1) {
                    return Http.Response.json(409, "{\"reason\":\"seq\",\"expected\":" + (producer.lastSequence + 1) + "}");
                }
            }
        }
        List<byte[]> records = new ArrayList<>();
        ByteBuffer in = ByteBuffer.wrap(request.body());
        while (in.hasRemaining()) {
            byte[] record = new byte[in.getInt()];
            if (record.length > RECORD_BYTES) {
                return Http.Response.json(400, "{\"reason\":\"record\"}");
            }
            in.get(record);
            records.add(record);
        }
        int offset = topic.records.size();
        records.forEach(record -> add(topic, record));
        String answer = "{\"offset\":" + offset + ",\"end\":" + topic.records.size() + "}";
        if (producer != null && query.containsKey("seq")) {
            producer.lastSequence = Long.parseLong(query.get("seq"));
            producer.answers.put(producer.lastSequence, answer);
            if (producer.answers.size() > 5) {
                producer.answers.remove(producer.answers.keySet().iterator().next());
            }
        }
        notifyAll();
        return Http.Response.json(200, answer);
    }

    private static void add(Topic topic, byte[] record) {
        int keyLength = record[0] & 0xff;
        String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
        if (record.length == 1 + keyLength) {
            topic.newest.remove(key);
        } else {
            topic.newest.put(key, topic.records.size());
        }
        topic.records.add(record);
    }

    /** Writes a record of the operator or of a worker; without a value, the key is removed. */
    synchronized void put(String name, String key, String value) {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        byte[] valueBytes = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
        byte[] record = new byte[1 + keyBytes.length + valueBytes.length];
        record[0] = (byte) keyBytes.length;
        System.arraycopy(keyBytes, 0, record, 1, keyBytes.length);
        System.arraycopy(valueBytes, 0, record, 1 + keyBytes.length, valueBytes.length);
        add(topics.computeIfAbsent(name, _ -> new Topic()), record);
        notifyAll();
    }

    private synchronized Http.Response read(Http.Request request) throws Exception {
        Topic topic = topics.computeIfAbsent(request.query().get("topic"), _ -> new Topic());
        int from = Integer.parseInt(request.query().get("from"));
        int maxBytes = 1024 * Integer.parseInt(request.query().getOrDefault("max_kb", "1024"));
        long deadline = System.nanoTime() + 1_000_000L * Integer.parseInt(request.query().getOrDefault("wait_ms", "0"));
        while (topic.records.size() <= from && System.nanoTime() < deadline) {
            wait(Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(topic.records.size());
        out.writeLong(0);
        for (int i = from; i < topic.records.size() && (i == from || bytes.size() < maxBytes); i++) {
            out.writeInt(topic.records.get(i).length);
            out.write(topic.records.get(i));
        }
        return new Http.Response(200, "application/octet-stream", bytes.toByteArray());
    }

    private synchronized Http.Response newest(Http.Request request) throws Exception {
        Topic topic = topics.computeIfAbsent(request.query().get("topic"), _ -> new Topic());
        String after = request.query().getOrDefault("after", "");
        List<Map<String, Object>> items = new ArrayList<>();
        int size = 0;
        boolean more = false;
        for (Map.Entry<String, Integer> entry : topic.newest.tailMap(after, false).entrySet()) {
            if (items.size() == 500 || size > 1_000_000) {
                more = true;
                break;
            }
            byte[] record = topic.records.get(entry.getValue());
            int skip = 1 + (record[0] & 0xff);
            byte[] value = java.util.Arrays.copyOfRange(record, skip, record.length);
            size += value.length;
            items.add(Map.of("key", entry.getKey(), "value", Base64.getEncoder().encodeToString(value), "offset", entry.getValue()));
        }
        return Http.Response.json(200, JSON.writeValueAsString(Map.of("items", items, "more", more, "end", topic.records.size())));
    }

    /** Returns the newest value of a key, or null. */
    synchronized byte[] value(String name, String key) {
        Topic topic = topics.get(name);
        Integer offset = topic == null ? null : topic.newest.get(key);
        if (offset == null) {
            return null;
        }
        byte[] record = topic.records.get(offset);
        return java.util.Arrays.copyOfRange(record, 1 + (record[0] & 0xff), record.length);
    }

    private synchronized Http.Response join(JsonNode body) throws Exception {
        Group group = groups.computeIfAbsent(body.path("group").asText(), _ -> new Group());
        String member = body.path("member").asText();
        long ttl = body.path("ttl_ms").asLong();
        boolean added = group.expiry.put(member, System.nanoTime() + ttl * 1_000_000) == null;
        group.ttl.put(member, ttl);
        if (group.owner.isEmpty()) {
            for (JsonNode topic : body.path("topics")) {
                for (int part = 0; part < PARTS; part++) {
                    group.owner.put(topic.asText() + "/" + part, "");
                }
            }
        }
        if (added) {
            rebalance(group);
        }
        if (body.path("generation").asLong() >= group.generation) {
            group.owner.replaceAll((part, owner) -> owner.equals(member) ? group.target.get(part) : owner);
        }
        List<List<Object>> parts = new ArrayList<>();
        group.owner.forEach((part, owner) -> {
            if (owner.equals(member) && group.target.get(part).equals(member)) {
                parts.add(row(part, "0"));
            }
        });
        return Http.Response.json(
                200, JSON.writeValueAsString(Map.of("generation", group.generation, "ttl_ms", ttl, "parts", parts)));
    }

    private static List<Object> row(String part, Object last) {
        int slash = part.indexOf('/');
        return List.of(part.substring(0, slash), Integer.parseInt(part.substring(slash + 1)), last);
    }

    private static void rebalance(Group group) {
        group.generation++;
        List<String> members = List.copyOf(group.expiry.keySet());
        int index = 0;
        for (String part : group.owner.keySet()) {
            group.target.put(part, members.isEmpty() ? "" : members.get(index++ % members.size()));
        }
        group.owner.replaceAll((part, owner) -> group.expiry.containsKey(owner) ? owner : group.target.get(part));
    }

    private synchronized Http.Response leave(JsonNode body) {
        Group group = groups.get(body.path("group").asText());
        if (group != null && group.expiry.remove(body.path("member").asText()) != null) {
            rebalance(group);
        }
        return Http.Response.json(200, "{}");
    }

    private synchronized Http.Response owners(String name) throws Exception {
        List<List<Object>> rows = new ArrayList<>();
        Group group = groups.get(name);
        if (group != null) {
            group.owner.forEach((part, owner) -> {
                if (!owner.isEmpty()) {
                    List<Object> row = new ArrayList<>(row(part, owner));
                    row.add(0);
                    rows.add(row);
                }
            });
        }
        return Http.Response.json(200, JSON.writeValueAsString(Map.of("owners", rows)));
    }

    private void expireLoop() {
        while (true) {
            try {
                Thread.sleep(20);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                heartbeats.entrySet().removeIf(heartbeat -> {
                    boolean silent = System.nanoTime() - heartbeat.getValue() > 3_000_000L * HEARTBEAT_MS;
                    if (silent) {
                        put("keyed.servers", heartbeat.getKey(), null);
                        log.add("store: the entry of " + heartbeat.getKey() + " runs out");
                    }
                    return silent;
                });
                for (Group group : groups.values()) {
                    if (group.expiry.values().removeIf(at -> System.nanoTime() - at > 0)) {
                        rebalance(group);
                    }
                }
            }
        }
    }
}
