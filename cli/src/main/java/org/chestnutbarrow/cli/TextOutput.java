package org.chestnutbarrow.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Prints a response as text: one line per field, and lists of objects as tables. Not thread-safe. */
final class TextOutput {
    private final PrintStream out;

    TextOutput(PrintStream out) {
        this.out = out;
    }

    void print(JsonNode response) {
        print(response, "");
    }

    private void print(JsonNode node, String indent) {
        for (Map.Entry<String, JsonNode> field : node.properties()) {
            JsonNode value = field.getValue();
            if (value.isObject()) {
                out.println(indent + field.getKey() + ":");
                print(value, indent + "  ");
            } else if (value.isArray() && !value.isEmpty() && value.get(0).isObject()) {
                out.println(indent + field.getKey() + ":");
                printTable(value, indent + "  ");
            } else if (value.isArray()) {
                out.println(indent + field.getKey() + ":");
                value.forEach(item -> out.println(indent + "  " + item.asText()));
            } else {
                out.println(indent + field.getKey() + ": " + value.asText());
            }
        }
    }

    private void printTable(JsonNode rows, String indent) {
        List<String> columns = new ArrayList<>();
        rows.get(0).fieldNames().forEachRemaining(columns::add);
        StringBuilder format = new StringBuilder(indent);
        for (String column : columns) {
            int width = column.length();
            for (JsonNode row : rows) {
                width = Math.max(width, cellText(row, column).length());
            }
            format.append("%-").append(width + 2).append('s');
        }
        out.println(String.format(format.toString(), columns.toArray()).stripTrailing());
        for (JsonNode row : rows) {
            Object[] cells =
                    columns.stream().map(column -> cellText(row, column)).toArray();
            out.println(String.format(format.toString(), cells).stripTrailing());
        }
    }

    private static String cellText(JsonNode row, String column) {
        JsonNode value = row.path(column);
        return value.isValueNode() ? value.asText() : value.toString();
    }
}
