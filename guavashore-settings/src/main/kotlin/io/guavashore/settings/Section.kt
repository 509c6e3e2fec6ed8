/*
 * Sections of settings: tables with fields, fixed sub-tables and sub-tables whose names the operator chooses.
 */
package io.guavashore.settings

/**
 * Schema of a table.
 *
 * @property tables schemas of the fixed sub-tables by key
 * @property namedTables schemas by key, each for all sub-tables below that key, whose names the operator chooses
 */
class Section(
    val doc: String,
    val fields: List<Field<*>> = emptyList(),
    val tables: Map<String, Section> = emptyMap(),
    val namedTables: Map<String, Section> = emptyMap(),
)

/** Error in settings. [path] is the key's full path; [line] starts at 1 and is null if the key is not in the file. */
data class SettingsError(
    val path: String,
    val line: Int?,
    val message: String,
) {
    override fun toString() = if (line == null) "$path: $message" else "line $line: $path: $message"
}

/** Valid names of teams, VMs, zones and sub-tables. */
internal val namePattern = Regex("[a-z0-9][a-z0-9-]{0,62}")
