import com.fasterxml.jackson.databind.node.ObjectNode;

/** Many jobs of many tasks. */
final class LargeJobs implements Play.Case {
    @Override
    public boolean play(Record record, boolean trouble) throws Exception {
        int jobs = Integer.getInteger("jobs", 100);
        try (Deployment deployment = new Deployment(record, 3, 6)) {
            deployment.awaitReady();
            Thread.sleep(2000);
            for (int i = 0; i < jobs; i++) {
                deployment.submit(i % 3, String.format("%016x", 0x5c0e7a21d94b0000L + i), "60000", 5000, 1000, 20000);
                Thread.sleep(50);
            }
            for (int i = 0; i < 20; i++) {
                for (NodeProcess node : deployment.nodes) {
                    record.add(node.name + " alive " + node.isAlive() + (node.isAlive() ? "" : " exit " + node.exitCode()));
                    if (!node.isAlive()) node.start();
                }
                Thread.sleep(2000);
            }
            return false;
        }
    }
}
