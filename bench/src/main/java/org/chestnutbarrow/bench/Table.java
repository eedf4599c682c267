package org.chestnutbarrow.bench;

import java.util.ArrayList;
import java.util.List;

/** A table of text with aligned columns. Used by one thread. */
final class Table {
    private final List<String[]> rows = new ArrayList<>();

    /** Creates a table with these column heads. */
    Table(String... heads) {
        rows.add(heads);
    }

    /** Adds a row; returns this table. */
    Table row(Object... cells) {
        String[] row = new String[cells.length];
        for (int i = 0; i < cells.length; i++) {
            row[i] = String.valueOf(cells[i]);
        }
        rows.add(row);
        return this;
    }

    @Override
    public String toString() {
        int columns = rows.get(0).length;
        StringBuilder format = new StringBuilder();
        for (int i = 0; i < columns; i++) {
            int width = 1;
            for (String[] row : rows) {
                width = Math.max(width, row[i].length());
            }
            format.append("%-").append(width).append(i == columns - 1 ? "s%n" : "s  ");
        }
        StringBuilder text = new StringBuilder();
        for (String[] row : rows) {
            text.append(String.format(format.toString(), (Object[]) row));
        }
        return text.toString();
    }
}
