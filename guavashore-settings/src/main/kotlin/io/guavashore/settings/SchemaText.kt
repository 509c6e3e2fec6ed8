/*
 * Schema as text for operators.
 */
package io.guavashore.settings

/** Describes each key of [section] with its form, default and doc. */
fun describe(
    section: Section,
    path: String = "",
): String =
    buildString {
        if (path.isNotEmpty()) appendLine("[$path]")
        appendLine("# ${section.doc}")
        section.fields.filter { it.replacedBy == null }.forEach { field ->
            val default = if (field.default == null) "required" else "default ${field.default}"
            appendLine("${field.key}  # ${field.doc} ${field.form.replaceFirstChar(Char::uppercase)}; $default.")
        }
        appendLine()
        section.tables.forEach { (key, child) -> append(describe(child, join(path, key))) }
        section.named.forEach { (key, child) -> append(describe(child, "${join(path, key)}.<name>")) }
    }

private fun join(
    path: String,
    key: String,
) = if (path.isEmpty()) key else "$path.$key"
