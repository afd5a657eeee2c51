package io.primroseflow.cli

private const val COLUMN_GAP = "  "

/** Returns [rows] below [header] as columns of equal width. */
internal fun tableOf(header: List<String>, rows: List<List<String>>): String {
    val all = listOf(header) + rows
    val widths = header.indices.map { column -> all.maxOf { it[column].length } }
    return all.joinToString("\n", postfix = "\n") { row ->
        row.mapIndexed { column, cell -> cell.padEnd(widths[column]) }
            .joinToString(COLUMN_GAP)
            .trimEnd()
    }
}
