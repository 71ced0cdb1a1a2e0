package io.radishspindle.cli;

import java.util.ArrayList;
import java.util.List;

/** A table for people: a heading, aligned columns, two spaces between them. Not thread-safe. */
final class Table {
    private final List<List<String>> rows = new ArrayList<>();

    Table(String... headings) {
        rows.add(List.of(headings));
    }

    void add(Object... cells) {
        List<String> row = new ArrayList<>();
        for (Object cell : cells) {
            row.add(String.valueOf(cell));
        }
        rows.add(row);
    }

    String render() {
        StringBuilder text = new StringBuilder();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int column = 0; column < row.size(); column++) {
                line.append(pad(row.get(column), width(column)));
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }

    private int width(int column) {
        return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
    }

    private static String pad(String cell, int width) {
        return cell + " ".repeat(width - cell.length() + 2);
    }
}
