/*
 * Text of a settings schema for operators.
 */
package io.guavashore.settings

/** Lists the keys of [section] and its sub-tables with their descriptions, valid values and defaults. */
fun describeSchema(
    section: Section,
    path: String = "",
): String =
    buildString {
        if (path.isNotEmpty()) appendLine("[$path]")
        appendLine("# ${section.doc}")
        section.fields.filter { it.replacedBy == null }.forEach { field ->
            val default = if (field.default == null) "required" else "default ${field.default}"
            appendLine("${field.key}  # ${field.doc} ${field.expected.replaceFirstChar(Char::uppercase)}; $default.")
        }
        appendLine()
        section.tables.forEach { (key, child) -> append(describeSchema(child, join(path, key))) }
        section.namedTables.forEach { (key, child) -> append(describeSchema(child, "${join(path, key)}.<name>")) }
    }

private fun join(
    path: String,
    key: String,
) = if (path.isEmpty()) key else "$path.$key"
