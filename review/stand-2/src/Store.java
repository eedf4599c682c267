import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The platform's log store as the users' pages describe it: keyed topics, producers with epochs, one group. Thread-safe;
 * all state is guarded by the monitor of this object.
 */
final class Store {
    private static final int PARTS = 32;
    private static final int MAX_ITEMS = 500;
    static final int RECORD_BYTES = 262144;

    private record Entry(byte[] key, byte[] value) {}

    private record Newest(byte[] value, long offset) {}

    private record Done(long seq, long offset, long end) {}

    private static final class Producer {
        long epoch;
        long nextSeq = -1;
        final Deque<Done> last = new ArrayDeque<>();
    }

    private static final class Topic {
        final List<Entry> log = new ArrayList<>();
        final TreeMap<String, Newest> newest = new TreeMap<>();
        final Map<String, Producer> producers = new HashMap<>();
    }

    private static final class MemberState {
        long until;
        long ttlMs;
    }

    private final HttpServer server;
    private final Map<String, Topic> topics = new HashMap<>();
    private final LinkedHashMap<String, MemberState> members = new LinkedHashMap<>();
    private final Map<String, String> holders = new HashMap<>();
    private List<String> groupTopics = List.of();
    private long generation;
    /** Appends that were refused because a record was too large. */
    final AtomicLong refusedRecords = new AtomicLong();

    Store(String ip) throws IOException {
        server = HttpServer.create(new InetSocketAddress(ip, 0), 1024);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", this::handle);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    void close() {
        server.stop(0);
    }

    /** Appends one record as the operator, a worker or another writer does; an empty value removes the key. */
    synchronized void put(String topic, String key, byte[] value) {
        append(topic(topic), List.of(new Entry(key.getBytes(StandardCharsets.UTF_8), value)));
    }

    /** Returns the newest value of a key, or null. */
    synchronized byte[] newest(String topic, String key) {
        Newest newest = topic(topic).newest.get(key);
        return newest == null ? null : newest.value();
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, n -> new Topic());
    }

    private long append(Topic topic, List<Entry> entries) {
        long offset = topic.log.size();
        for (Entry entry : entries) {
            String key = new String(entry.key(), StandardCharsets.UTF_8);
            if (entry.value().length == 0) {
                topic.newest.remove(key);
            } else {
                topic.newest.put(key, new Newest(entry.value(), topic.log.size()));
            }
            topic.log.add(entry);
        }
        notifyAll();
        return offset;
    }

    private void handle(HttpExchange exchange) throws IOException {
        try {
            byte[] body = exchange.getRequestBody().readAllBytes();
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            switch (exchange.getRequestURI().getPath()) {
                case "/-/log-append" -> append(exchange, query, body);
                case "/-/log-read" -> read(exchange, query);
                case "/-/log-newest" -> newest(exchange, query);
                case "/-/log-join" -> Body.answer(exchange, 200, join(Body.parse(body)));
                case "/-/log-leave" -> {
                    leave(Body.parse(body).path("member").asText());
                    Body.answer(exchange, 200, Body.object());
                }
                case "/-/log-owners" -> Body.answer(exchange, 200, owners());
                case "/-/log-commit" -> Body.answer(exchange, 200, Body.object());
                default -> Body.answer(exchange, 404, Body.object());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            exchange.close();
        } catch (RuntimeException e) {
            e.printStackTrace();
            exchange.close();
        }
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> result = new HashMap<>();
        if (raw != null) {
            for (String part : raw.split("&")) {
                int equals = part.indexOf('=');
                result.put(
                        part.substring(0, equals),
                        URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return result;
    }

    private void append(HttpExchange exchange, Map<String, String> query, byte[] body) throws IOException {
        String name = query.get("topic");
        if (name.equals("keyed.op") || name.equals("keyed.servers")) {
            Body.answer(exchange, 403, Body.object());
            return;
        }
        List<Entry> entries = new ArrayList<>();
        ByteBuffer in = ByteBuffer.wrap(body);
        while (in.hasRemaining()) {
            int length = in.getInt();
            if (length > RECORD_BYTES) {
                refusedRecords.incrementAndGet();
                Body.answer(exchange, 400, Body.object().put("reason", "record_bytes"));
                return;
            }
            byte[] key = new byte[in.get() & 0xff];
            in.get(key);
            byte[] value = new byte[length - 1 - key.length];
            in.get(value);
            entries.add(new Entry(key, value));
        }
        ObjectNode answer = Body.object();
        int status = 200;
        synchronized (this) {
            Topic topic = topic(name);
            Producer producer = topic.producers.computeIfAbsent(query.getOrDefault("producer", ""), n -> new Producer());
            long epoch = Long.parseLong(query.getOrDefault("epoch", "0"));
            if (epoch < producer.epoch) {
                status = 409;
                answer.put("reason", "fenced").put("epoch", producer.epoch);
            } else {
                if (epoch > producer.epoch) {
                    producer.epoch = epoch;
                    producer.nextSeq = -1;
                    producer.last.clear();
                }
                if (query.containsKey("seq")) {
                    long seq = Long.parseLong(query.get("seq"));
                    Done done = producer.last.stream().filter(d -> d.seq() == seq).findFirst().orElse(null);
                    if (done == null && producer.nextSeq >= 0 && seq != producer.nextSeq) {
                        status = 409;
                        answer.put("reason", "seq").put("seq", producer.nextSeq);
                    } else {
                        if (done == null) {
                            long offset = append(topic, entries);
                            done = new Done(seq, offset, topic.log.size());
                            producer.nextSeq = seq + 1;
                            producer.last.addLast(done);
                            if (producer.last.size() > 5) {
                                producer.last.removeFirst();
                            }
                        }
                        answer.put("offset", done.offset()).put("end", done.end());
                    }
                } else {
                    long offset = entries.isEmpty() ? topic.log.size() : append(topic, entries);
                    answer.put("offset", offset).put("end", topic.log.size());
                }
            }
        }
        Body.answer(exchange, status, answer);
    }

    private void read(HttpExchange exchange, Map<String, String> query) throws IOException, InterruptedException {
        long from = Long.parseLong(query.get("from"));
        int maxBytes = Integer.parseInt(query.getOrDefault("max_kb", "1024")) * 1024;
        long waitMs = Long.parseLong(query.getOrDefault("wait_ms", "0"));
        long deadline = System.nanoTime() + waitMs * 1_000_000;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        synchronized (this) {
            Topic topic = topic(query.get("topic"));
            long left = waitMs;
            while (from >= topic.log.size() && left > 0) {
                wait(left);
                left = (deadline - System.nanoTime()) / 1_000_000;
            }
            out.writeBytes(ByteBuffer.allocate(16).putLong(topic.log.size()).putLong(0).array());
            for (long i = from; i < topic.log.size() && out.size() < maxBytes; i++) {
                Entry entry = topic.log.get((int) i);
                out.writeBytes(ByteBuffer.allocate(5)
                        .putInt(1 + entry.key().length + entry.value().length)
                        .put((byte) entry.key().length)
                        .array());
                out.writeBytes(entry.key());
                out.writeBytes(entry.value());
            }
        }
        Body.answer(exchange, 200, out.toByteArray());
    }

    private void newest(HttpExchange exchange, Map<String, String> query) throws IOException {
        ObjectNode answer = Body.object();
        synchronized (this) {
            Topic topic = topic(query.get("topic"));
            ArrayNode items = answer.putArray("items");
            boolean more = false;
            for (Map.Entry<String, Newest> entry :
                    topic.newest.tailMap(query.getOrDefault("after", ""), false).entrySet()) {
                if (items.size() == MAX_ITEMS) {
                    more = true;
                    break;
                }
                items.addObject()
                        .put("key", entry.getKey())
                        .put("value", Base64.getEncoder().encodeToString(entry.getValue().value()))
                        .put("offset", entry.getValue().offset());
            }
            answer.put("more", more).put("end", topic.log.size());
        }
        Body.answer(exchange, 200, answer);
    }

    private synchronized ObjectNode join(JsonNode body) {
        expireMembers();
        String id = body.path("member").asText();
        List<String> wanted = new ArrayList<>();
        body.path("topics").forEach(t -> wanted.add(t.asText()));
        groupTopics = wanted;
        boolean added = !members.containsKey(id);
        MemberState member = members.computeIfAbsent(id, n -> new MemberState());
        member.ttlMs = body.path("ttl_ms").asLong();
        member.until = System.nanoTime() + member.ttlMs * 1_000_000;
        if (added) {
            deal();
        }
        ObjectNode answer = Body.object().put("generation", generation).put("ttl_ms", member.ttlMs);
        ArrayNode parts = answer.putArray("parts");
        holders.forEach((part, holder) -> {
            if (holder.equals(id)) {
                int colon = part.lastIndexOf(':');
                parts.addArray()
                        .add(part.substring(0, colon))
                        .add(Integer.parseInt(part.substring(colon + 1)))
                        .add(0);
            }
        });
        return answer;
    }

    private synchronized void leave(String id) {
        expireMembers();
        if (members.remove(id) != null) {
            deal();
        }
    }

    private void expireMembers() {
        long now = System.nanoTime();
        if (members.values().removeIf(member -> member.until - now < 0)) {
            deal();
        }
    }

    /** Distributes the partitions evenly and moves no more of them than needed. */
    private void deal() {
        generation++;
        List<String> ids = new ArrayList<>(members.keySet());
        if (ids.isEmpty()) {
            holders.clear();
            return;
        }
        List<String> parts = new ArrayList<>();
        groupTopics.forEach(topic -> {
            for (int i = 0; i < PARTS; i++) {
                parts.add(topic + ":" + i);
            }
        });
        holders.values().removeIf(holder -> !members.containsKey(holder));
        int most = (parts.size() + ids.size() - 1) / ids.size();
        Map<String, Integer> counts = new HashMap<>();
        ids.forEach(id -> counts.put(id, 0));
        for (String part : parts) {
            String holder = holders.get(part);
            if (holder != null && counts.merge(holder, 1, Integer::sum) > most) {
                counts.merge(holder, -1, Integer::sum);
                holders.remove(part);
            }
        }
        for (String part : parts) {
            if (!holders.containsKey(part)) {
                String least = ids.stream()
                        .min((a, b) -> Integer.compare(counts.get(a), counts.get(b)))
                        .orElseThrow();
                holders.put(part, least);
                counts.merge(least, 1, Integer::sum);
            }
        }
    }

    private synchronized ObjectNode owners() {
        expireMembers();
        ObjectNode answer = Body.object();
        ArrayNode rows = answer.putArray("owners");
        holders.forEach((part, holder) -> {
            int colon = part.lastIndexOf(':');
            rows.addArray()
                    .add(part.substring(0, colon))
                    .add(Integer.parseInt(part.substring(colon + 1)))
                    .add(holder)
                    .add(0);
        });
        return answer;
    }
}
