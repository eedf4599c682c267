package org.chestnutbarrow.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.chestnutbarrow.format.LogRecords;
import org.chestnutbarrow.model.LogRecord;

/** Reads a deployment's log itself, without its daemons. Stateless. */
public final class LogReader {
    private static final int PAGE = 1000;

    private final Cluster cluster;
    private final LogRecords records = new LogRecords();

    /** Creates a reader of a deployment's log. */
    public LogReader(Cluster cluster) {
        this.cluster = cluster;
    }

    /** Offset of the next record to be written, which is the number of appends so far. */
    public long next() throws IOException {
        return page(0, 1).path("next").asLong();
    }

    /** All records that the log keeps, in order. */
    public List<LogRecord> records() throws IOException {
        List<LogRecord> result = new ArrayList<>();
        long from = 0;
        JsonNode page = page(from, PAGE);
        while (!page.path("records").isEmpty()) {
            for (JsonNode record : page.path("records")) {
                from = record.path("offset").asLong() + 1;
                if (records.decode(record.path("data").binaryValue()) instanceof LogRecords.Read read) {
                    result.add(read.record());
                }
            }
            page = page(from, PAGE);
        }
        return result;
    }

    private JsonNode page(long from, int max) throws IOException {
        JsonNode page = cluster.get(cluster.log(), "/v1/log?from=" + from + "&max=" + max);
        if (!page.has("next")) {
            throw new IOException("the log does not answer: " + page);
        }
        return page;
    }
}
