package io.primroseflow.cli

private const val COLUMN_SEPARATOR = "  "

/** Formats [header] and [rows] as a text table with left-aligned columns. */
internal fun formatTable(header: List<String>, rows: List<List<String>>): String {
    val lines = listOf(header) + rows
    val widths = header.indices.map { column -> lines.maxOf { it[column].length } }
    return lines.joinToString("\n", postfix = "\n") { row ->
        row.mapIndexed { column, cell -> cell.padEnd(widths[column]) }
            .joinToString(COLUMN_SEPARATOR)
            .trimEnd()
    }
}
