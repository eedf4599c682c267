package org.chestnutbarrow.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Prints an answer for people: one line a field, and a table for a list of objects. Used by one thread. */
final class TextOutput {
    private final PrintStream out;

    TextOutput(PrintStream out) {
        this.out = out;
    }

    void print(JsonNode answer) {
        print(answer, "");
    }

    private void print(JsonNode node, String indent) {
        for (Map.Entry<String, JsonNode> field : node.properties()) {
            JsonNode value = field.getValue();
            if (value.isObject()) {
                out.println(indent + field.getKey() + ":");
                print(value, indent + "  ");
            } else if (value.isArray() && !value.isEmpty() && value.get(0).isObject()) {
                out.println(indent + field.getKey() + ":");
                table(value, indent + "  ");
            } else if (value.isArray()) {
                out.println(indent + field.getKey() + ":");
                value.forEach(item -> out.println(indent + "  " + item.asText()));
            } else {
                out.println(indent + field.getKey() + ": " + value.asText());
            }
        }
    }

    private void table(JsonNode rows, String indent) {
        List<String> columns = new ArrayList<>();
        rows.get(0).fieldNames().forEachRemaining(columns::add);
        StringBuilder format = new StringBuilder(indent);
        for (String column : columns) {
            int width = column.length();
            for (JsonNode row : rows) {
                width = Math.max(width, cell(row, column).length());
            }
            format.append("%-").append(width + 2).append('s');
        }
        out.println(String.format(format.toString(), columns.toArray()).stripTrailing());
        for (JsonNode row : rows) {
            Object[] cells = columns.stream().map(column -> cell(row, column)).toArray();
            out.println(String.format(format.toString(), cells).stripTrailing());
        }
    }

    private static String cell(JsonNode row, String column) {
        JsonNode value = row.path(column);
        return value.isValueNode() ? value.asText() : value.toString();
    }
}
