package org.chestnutbarrow.daemon;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Guards against events and metrics that the code has and docs/OPERATIONS.md does not, and the other way round. */
public class DocumentedNamesTest {
    private static final Path ROOT = Path.of(System.getProperty("chestnutbarrow.root"));
    private static final List<String> DAEMON = List.of("daemon", "peer", "http", "ports", "logging");
    private static final List<String> NODE = List.of("node", "platform");
    private static final Pattern EVENT =
            Pattern.compile("(?:Events\\s*\\.(?:info|warn|line)|unanswered)\\(\\s*\"([a-z-]+)\"|\"event=([a-z-]+)");
    private static final Pattern METRIC = Pattern.compile("\"(chestnutbarrow_[a-z_]+)\"");
    private static final Pattern EVENT_ROW = Pattern.compile("(?m)^\\| `([a-z-]+)` \\|");
    private static final Pattern METRIC_ROW = Pattern.compile("(?m)^\\| `(chestnutbarrow_[a-z_]+)");

    @Test
    public void listsAllEventsOfTheLog() throws IOException {
        assertEquals(section("## Events\n", EVENT_ROW), code(DAEMON, EVENT));
    }

    @Test
    public void listsAllEventsOfANode() throws IOException {
        assertEquals(section("## Events of a node\n", EVENT_ROW), code(NODE, EVENT));
    }

    @Test
    public void listsAllMetrics() throws IOException {
        assertEquals(section("## Metrics\n", METRIC_ROW), code(DAEMON, METRIC));
    }

    @Test
    public void listsAllMetricsOfANode() throws IOException {
        assertEquals(section("## Metrics of a node\n", METRIC_ROW), code(NODE, METRIC));
    }

    private static Set<String> section(String head, Pattern row) throws IOException {
        String page = Files.readString(ROOT.resolve("docs/OPERATIONS.md"));
        int start = page.indexOf(head);
        int end = page.indexOf("\n## ", start + 1);
        return names(row, page.substring(start, end < 0 ? page.length() : end));
    }

    private static Set<String> code(List<String> modules, Pattern pattern) throws IOException {
        Set<String> names = new TreeSet<>();
        for (String module : modules) {
            try (Stream<Path> files = Files.walk(ROOT.resolve(module).resolve("src/main/java"))) {
                for (Path file :
                        files.filter(path -> path.toString().endsWith(".java")).toList()) {
                    String code = Files.readString(file).replaceAll("(?m)^\\s*\\*.*$", "");
                    names.addAll(names(pattern, code));
                }
            }
        }
        return names;
    }

    private static Set<String> names(Pattern pattern, String text) {
        Set<String> names = new TreeSet<>();
        Matcher matcher = pattern.matcher(text);
        while (matcher.find()) {
            String first = matcher.group(1);
            names.add(first != null ? first : matcher.group(2));
        }
        return names;
    }
}
