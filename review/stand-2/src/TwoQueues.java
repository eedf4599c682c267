import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Clients of two queues number their jobs from one, without knowing of each other; without the trouble, they number them
 * differently. Rule MIXED.
 */
final class TwoQueues implements Play.Case {
    private static final int JOBS = 6;
    private static final String SPEC = "300";
    private static final String OTHER_SPEC = "301";
    private static final int FINISH_MS = 14_000;

    @Override
    public boolean play(Record record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record, 3, 6)) {
            deployment.awaitReady();
            Thread.sleep(2000);
            int accepted = 0;
            for (int i = 1; i <= JOBS; i++) {
                deployment.call(i % 3, "POST", Deployment.PREFIX, id(i), job(SPEC));
            }
            Thread.sleep(3000);
            for (int i = 1; i <= JOBS; i++) {
                String id = id(trouble ? i : i + 0x1000);
                accepted += deployment.call(i % 3, "POST", Deployment.OTHER_PREFIX, id, job(OTHER_SPEC)).status() == 200
                        ? 1
                        : 0;
            }
            Thread.sleep(FINISH_MS);
            int completed = 0;
            for (int i = 1; i <= JOBS; i++) {
                String id = id(trouble ? i : i + 0x1000);
                Call.Answer state = deployment.call(i % 3, "GET", Deployment.OTHER_PREFIX, id, "");
                completed += state.body().contains("completed") ? 1 : 0;
            }
            long starts = starts(deployment, SPEC);
            long otherStarts = starts(deployment, OTHER_SPEC);
            record.add(Deployment.PREFIX + ": " + starts + " tasks have run");
            record.add(Deployment.OTHER_PREFIX + ": " + accepted + " jobs were accepted, " + completed
                    + " are shown as completed, " + otherStarts + " tasks have run");
            return completed > 0 && otherStarts == 0;
        }
    }

    private static long starts(Deployment deployment, String spec) {
        return deployment.workers.stream()
                .flatMap(worker -> worker.startedSpecs().stream())
                .filter(spec::equals)
                .count();
    }

    private static String id(int number) {
        return String.format("%016x", number);
    }

    private static String job(String spec) {
        ObjectNode job = Body.object().put("spec", spec);
        job.putArray("steps")
                .addObject()
                .put("count", 2)
                .put("cpu", 1000)
                .put("mem_mb", 256)
                .put("estimate_ms", 300);
        return job.toString();
    }
}
