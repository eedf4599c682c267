package org.chestnutbarrow.format;

import java.util.ArrayList;
import java.util.List;
import org.chestnutbarrow.model.InvalidInputException;

/** Collects all errors of a file, so that they are reported together. Not safe for use by several threads. */
final class Problems {
    private final String file;
    private final List<String> lines = new ArrayList<>();

    Problems(String file) {
        this.file = file;
    }

    /** Adds an error that is formatted as {@code zones.jsonc:12: teams.a.quota: value is missing; add it}. */
    void add(int line, String path, String what, String remedy) {
        lines.add(file + ":" + line + ": " + (path.isEmpty() ? "(file)" : path) + ": " + what + "; " + remedy);
    }

    void add(Node node, String what, String remedy) {
        add(node.line(), node.path(), what, remedy);
    }

    boolean isEmpty() {
        return lines.isEmpty();
    }

    /** Throws an exception that lists all errors, one per line, if there are any. */
    void throwIfAny() throws InvalidInputException {
        if (!lines.isEmpty()) {
            String noun = lines.size() == 1 ? "1 error" : lines.size() + " errors";
            throw new InvalidInputException(
                    noun + " in " + file + "\n" + String.join("\n", lines), "nothing was applied");
        }
    }
}
