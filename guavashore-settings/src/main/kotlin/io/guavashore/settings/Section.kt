/*
 * Sections of settings: a table with fields, fixed sub-tables and sub-tables whose names the operator chooses.
 */
package io.guavashore.settings

/**
 * A table.
 *
 * @property named sub-tables by key, each of whose children is a table named by the operator
 */
class Section(
    val doc: String,
    val fields: List<Field<*>> = emptyList(),
    val tables: Map<String, Section> = emptyMap(),
    val named: Map<String, Section> = emptyMap(),
)

/** A fault in settings. [path] is the key's full path, [line] counts from 1. */
data class Fault(
    val path: String,
    val line: Int?,
    val message: String,
) {
    override fun toString() = if (line == null) "$path: $message" else "line $line: $path: $message"
}

/** Form that names of sub-tables must have. */
internal val nameForm = Regex("[a-z0-9][a-z0-9-]{0,62}")
