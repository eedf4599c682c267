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

/** Checks that docs/OPERATIONS.md lists exactly the events and metrics of the code. */
public class DocumentedNamesTest {
    private static final Path ROOT = Path.of(System.getProperty("chestnutbarrow.root"));
    private static final List<String> DAEMON_MODULES = List.of("daemon", "peer", "http", "ports", "logging");
    private static final List<String> NODE_MODULES = List.of("node", "relay", "platform");
    private static final Pattern EVENT =
            Pattern.compile("(?:Events\\s*\\.(?:info|warn|line)|unanswered)\\(\\s*\"([a-z-]+)\"|\"event=([a-z-]+)");
    private static final Pattern METRIC = Pattern.compile("\"(chestnutbarrow_[a-z_]+)\"");
    private static final Pattern EVENT_ROW = Pattern.compile("(?m)^\\| `([a-z-]+)` \\|");
    private static final Pattern METRIC_ROW = Pattern.compile("(?m)^\\| `(chestnutbarrow_[a-z_]+)");

    @Test
    public void documentsAllDaemonEvents() throws IOException {
        assertEquals(documentedNames("## Events\n", EVENT_ROW), namesInCode(DAEMON_MODULES, EVENT));
    }

    @Test
    public void documentsAllNodeEvents() throws IOException {
        assertEquals(documentedNames("## Events of a node\n", EVENT_ROW), namesInCode(NODE_MODULES, EVENT));
    }

    @Test
    public void documentsAllDaemonMetrics() throws IOException {
        assertEquals(documentedNames("## Metrics\n", METRIC_ROW), namesInCode(DAEMON_MODULES, METRIC));
    }

    @Test
    public void documentsAllNodeMetrics() throws IOException {
        assertEquals(documentedNames("## Metrics of a node\n", METRIC_ROW), namesInCode(NODE_MODULES, METRIC));
    }

    private static Set<String> documentedNames(String heading, Pattern row) throws IOException {
        String page = Files.readString(ROOT.resolve("docs/OPERATIONS.md"));
        int start = page.indexOf(heading);
        int end = page.indexOf("\n## ", start + 1);
        return findNames(row, page.substring(start, end < 0 ? page.length() : end));
    }

    private static Set<String> namesInCode(List<String> modules, Pattern pattern) throws IOException {
        Set<String> names = new TreeSet<>();
        for (String module : modules) {
            try (Stream<Path> files = Files.walk(ROOT.resolve(module).resolve("src/main/java"))) {
                for (Path file :
                        files.filter(path -> path.toString().endsWith(".java")).toList()) {
                    String source = Files.readString(file).replaceAll("(?m)^\\s*\\*.*$", "");
                    names.addAll(findNames(pattern, source));
                }
            }
        }
        return names;
    }

    private static Set<String> findNames(Pattern pattern, String text) {
        Set<String> names = new TreeSet<>();
        Matcher matcher = pattern.matcher(text);
        while (matcher.find()) {
            String first = matcher.group(1);
            names.add(first != null ? first : matcher.group(2));
        }
        return names;
    }
}
