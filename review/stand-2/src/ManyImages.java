import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Jobs of many images fill the room beside jobs that serve. Rule LOST. */
final class ManyImages implements Play.Case {
    private static final int SERVING = 20;
    private static final int FILLING = 70;

    @Override
    public boolean play(Record record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record, 3, 6)) {
            deployment.awaitReady();
            Thread.sleep(2000);
            for (int i = 0; i < SERVING; i++) {
                ObjectNode job = Body.object().put("spec", "300:lasts:10");
                job.putArray("steps")
                        .addObject()
                        .put("count", 3)
                        .put("cpu", 1000)
                        .put("mem_mb", 256)
                        .put("estimate_ms", 1000)
                        .put("long_running", true)
                        .put("target_ms", 50)
                        .put("image", image("serving", i));
                deployment.submit(i % 3, String.format("%016x", 0x5c0e7a21d94b1000L + i), job);
            }
            Thread.sleep(2000);
            List<String> jobs = new ArrayList<>();
            for (int i = 0; i < FILLING; i++) {
                ObjectNode job = Body.object().put("spec", "2000:done:400");
                job.putArray("steps")
                        .addObject()
                        .put("count", 12)
                        .put("cpu", 400)
                        .put("mem_mb", 256)
                        .put("estimate_ms", 2000)
                        .put("fills", true)
                        .put("image", image("filling", trouble ? i : i % 4));
                String id = String.format("%016x", 0x5c0e7a21d94b2000L + i);
                if (deployment.submit(i % 3, id, job)) {
                    jobs.add(id);
                }
                Thread.sleep(400);
            }
            Thread.sleep(5000);
            String probe = "5c0e7a21d94b3000";
            boolean accepted = deployment.submit(0, probe, "500", 1, 500, 500);
            long until = System.nanoTime() + 14_000_000_000L;
            Call.Answer state = new Call.Answer(0, "");
            while (until - System.nanoTime() > 0 && !state.body().contains("completed")) {
                Thread.sleep(500);
                state = deployment.state(1, probe);
            }
            record.add("14 s after the end of the traffic, " + probe + " is " + state.status() + " " + state.body());
            int open = 0;
            for (String id : jobs) {
                open += deployment.state(2, id).body().contains("completed") ? 0 : 1;
            }
            record.add(jobs.size() + " jobs that fill were accepted, " + open + " are not completed");
            record.add("appends that the store refused for a record of over " + Store.RECORD_BYTES + " bytes: "
                    + deployment.store.refusedRecords.get());
            for (Worker worker : deployment.workers) {
                record.add(worker.id + " has " + worker.runs().size() + " runs");
            }
            return accepted && !state.body().contains("completed");
        }
    }

    /** Returns the name of an image as registries give it, with its digest. */
    private static String image(String kind, int number) {
        return String.format(Locale.ROOT, "registry.example/desk/%s-%02d@sha256:%064x", kind, number, number + 1);
    }
}
