import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Another writer leaves an entry without the start time of its worker. Rule TWICE. */
final class OddEntry implements Play.Case {
    @Override
    public boolean play(Record record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record, 3, 6)) {
            deployment.awaitReady();
            Thread.sleep(3000);
            for (int i = 0; i < 6; i++) {
                deployment.submit(i % 3, String.format("%016x", 0x5c0e7a21d94b36f0L + i), "20000", 4, 1000, 20000);
            }
            Thread.sleep(4000);
            Worker worker = deployment.workers.stream()
                    .filter(w -> !w.runs().isEmpty())
                    .findFirst()
                    .orElseThrow(() -> new IllegalStateException("no worker has work"));
            record.add(worker.id + " runs " + worker.runs());
            if (trouble) {
                worker.awaitHeartbeat();
                Thread.sleep(200);
                ObjectNode entry = worker.entry();
                entry.remove(List.of("born", "seq", "clock_ms"));
                deployment.store.put("keyed.servers", worker.id, Body.bytes(entry));
                record.add("another writer appends to keyed.servers: " + worker.id + " " + entry);
            }
            Map<String, String> twice = new TreeMap<>();
            long until = System.nanoTime() + 10_000_000_000L;
            while (until - System.nanoTime() > 0) {
                Map<String, List<String>> places = new HashMap<>();
                for (Worker each : deployment.workers) {
                    for (String run : each.runs()) {
                        places.computeIfAbsent(run.substring(0, run.indexOf(' ')), t -> new ArrayList<>())
                                .add(each.id + run.substring(run.indexOf(' ')));
                    }
                }
                places.forEach((task, at) -> {
                    if (at.size() > 1 && twice.putIfAbsent(task, at.toString()) == null) {
                        record.add("TWICE: " + task + " runs at the same time on " + at);
                    }
                });
                Thread.sleep(10);
            }
            record.add("tasks that ran twice at the same time: " + twice.size());
            return !twice.isEmpty();
        }
    }
}
