package org.chestnutbarrow.format;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A JSON value with its position in the file, which Jackson's tree model does not retain. */
sealed interface Node {
    /** Returns the line number in the file, from 1. */
    int line();

    /** Returns the path of field names and indexes, such as {@code teams.rental.quota}; empty for the root. */
    String path();

    /** An object. */
    record ObjectNode(int line, String path, Map<String, Node> fields) implements Node {}

    /** An array. */
    record ArrayNode(int line, String path, List<Node> items) implements Node {}

    /** A string, number, boolean or null. */
    record ScalarNode(int line, String path, JsonToken token, String text) implements Node {}

    /** Parses a file; adds a problem and returns empty if it is not valid JSON. */
    static Optional<Node> parse(byte[] data, Problems problems) {
        try (JsonParser parser = Json.MAPPER.createParser(data)) {
            if (parser.nextToken() == null) {
                problems.add(1, "", "the file is empty", "write a JSON object");
                return Optional.empty();
            }
            Node node = read(parser, "");
            if (parser.nextToken() != null) {
                problems.add(
                        parser.currentLocation().getLineNr(), "", "text after the end of the JSON value", "remove it");
            }
            return Optional.of(node);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            problems.add(line, "", e.getOriginalMessage(), "correct the JSON");
            return Optional.empty();
        } catch (IOException e) {
            problems.add(1, "", String.valueOf(e.getMessage()), "write the file as UTF-8");
            return Optional.empty();
        }
    }

    private static Node read(JsonParser parser, String path) throws IOException {
        int line = parser.currentTokenLocation().getLineNr();
        if (parser.currentToken() == JsonToken.START_OBJECT) {
            Map<String, Node> fields = new LinkedHashMap<>();
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                parser.nextToken();
                fields.put(name, read(parser, path.isEmpty() ? name : path + "." + name));
            }
            return new ObjectNode(line, path, fields);
        }
        if (parser.currentToken() == JsonToken.START_ARRAY) {
            List<Node> items = new ArrayList<>();
            while (parser.nextToken() != JsonToken.END_ARRAY) {
                items.add(read(parser, path + "[" + items.size() + "]"));
            }
            return new ArrayNode(line, path, items);
        }
        return new ScalarNode(line, path, parser.currentToken(), parser.getText());
    }
}
