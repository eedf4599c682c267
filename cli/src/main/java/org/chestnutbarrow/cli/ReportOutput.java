package org.chestnutbarrow.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.chestnutbarrow.configcheck.Difference;
import org.chestnutbarrow.platform.ConfigurationCheck;
import org.chestnutbarrow.platform.ReportedFinding;

/** Formats the result of checking a configuration: one line for each finding and difference, or JSON. Stateless. */
final class ReportOutput {
    private ReportOutput() {}

    static List<String> lines(ConfigurationCheck.Report report) {
        List<String> lines = new ArrayList<>();
        for (ReportedFinding finding : report.findings()) {
            String path = finding.path().isEmpty() ? "file" : finding.path();
            lines.add(oneLine(path + ": " + finding.problem() + "; " + finding.remedy()));
        }
        if (lines.isEmpty()) {
            lines.add("no findings");
        }
        report.differences().ifPresent(differences -> {
            differences.forEach(difference -> lines.add(oneLine(line(difference))));
            if (differences.isEmpty()) {
                lines.add("no difference");
            }
        });
        return lines;
    }

    private static String oneLine(String text) {
        return text.replaceAll("\\p{Cntrl}", "?");
    }

    private static String line(Difference difference) {
        return switch (difference) {
            case Difference.Added(String entry) -> "+ " + entry;
            case Difference.Removed(String entry) -> "- " + entry;
            case Difference.Changed(String entry, String field, String before, String after) ->
                "~ " + entry + ": " + field + " from " + before + " to " + after;
            case Difference.KeysChanged(String entry, int added, int removed) ->
                "~ " + entry + ": keys added " + added + ", removed " + removed;
        };
    }

    static JsonNode json(ConfigurationCheck.Report report) {
        ObjectNode result = JsonNodeFactory.instance.objectNode();
        ArrayNode findings = result.putArray("findings");
        for (ReportedFinding finding : report.findings()) {
            findings.addObject()
                    .put("path", finding.path())
                    .put("problem", finding.problem())
                    .put("remedy", finding.remedy());
        }
        ArrayNode differences = result.putArray("differences");
        report.differences().ifPresent(all -> all.forEach(difference -> put(difference, differences.addObject())));
        return result;
    }

    private static void put(Difference difference, ObjectNode node) {
        node.put("entry", difference.entry());
        switch (difference) {
            case Difference.Added _ -> node.put("change", "added");
            case Difference.Removed _ -> node.put("change", "removed");
            case Difference.Changed changed ->
                node.put("change", "changed")
                        .put("field", changed.field())
                        .put("before", changed.before())
                        .put("after", changed.after());
            case Difference.KeysChanged keys ->
                node.put("change", "keys").put("keysAdded", keys.added()).put("keysRemoved", keys.removed());
        }
    }
}
