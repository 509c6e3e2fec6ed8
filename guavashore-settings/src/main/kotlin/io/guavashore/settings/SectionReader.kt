/*
 * Reads a TOML table according to its section and collects all errors instead of stopping at the first.
 */
package io.guavashore.settings

import org.tomlj.Toml
import org.tomlj.TomlTable

/** Errors found so far. */
internal class SettingsErrors {
    private val all = mutableListOf<SettingsError>()

    val list: List<SettingsError> get() = all.sortedBy { it.line ?: 0 }

    fun add(
        path: String,
        line: Int?,
        message: String,
    ) {
        all += SettingsError(path, line, message)
    }
}

/** Parses [text]. Syntax errors are added to [errors]; the readable part of the text is still read. */
internal fun readToml(
    text: String,
    section: Section,
    errors: SettingsErrors,
): SectionReader {
    val parsed = Toml.parse(text)
    parsed.errors().forEach { errors.add("syntax", it.position().line(), it.message.orEmpty()) }
    return SectionReader(parsed, section, path = "", errors).also { it.checkKeys() }
}

/** Reads the fields of [table] by their schema [section]. Invalid fields are added to [errors]. */
internal class SectionReader(
    private val table: TomlTable,
    private val section: Section,
    private val path: String,
    private val errors: SettingsErrors,
) {
    /** Returns the value of [field], or its default, which may be null, if the value is absent or invalid. */
    operator fun <T : Any> get(field: Field<T>): T? {
        val raw = table.get(listOf(field.key))
        if (raw == null) {
            if (field.default == null) reportError(field.key, "is missing; must be ${field.expected}")
            return field.default
        }
        val value = field.read(raw)
        if (value == null) {
            reportError(field.key, "must be ${field.expected}")
            return field.default
        }
        val problem = field.check(value) ?: return value
        reportError(field.key, problem)
        return field.default
    }

    /** Returns the fixed sub-table [key], empty if absent. */
    fun table(key: String): SectionReader {
        val child = table.get(listOf(key)) as? TomlTable ?: Toml.parse("")
        return SectionReader(child, section.tables.getValue(key), pathOf(key), errors)
    }

    /** Returns the sub-tables below [key] with the names that the operator chose. */
    fun namedTables(key: String): List<Pair<String, SectionReader>> {
        val parent = table.get(listOf(key)) as? TomlTable ?: return emptyList()
        val child = section.namedTables.getValue(key)
        return parent.keySet().sorted().mapNotNull { name ->
            (parent.get(listOf(name)) as? TomlTable)?.let {
                name to SectionReader(it, child, "${pathOf(key)}.$name", errors)
            }
        }
    }

    fun reportError(
        key: String,
        message: String,
    ) = errors.add(pathOf(key), lineOf(key), message)

    /** Adds an error for each unknown, deprecated or mistyped key of this table and its sub-tables. */
    fun checkKeys() {
        table.keySet().forEach(::checkKey)
    }

    private fun checkKey(key: String) {
        val field = section.fields.firstOrNull { it.key == key }
        when {
            field?.replacedBy != null -> reportError(key, "is deprecated; use ${field.replacedBy}")
            field != null -> Unit
            key in section.tables -> checkTable(key) { table(key).checkKeys() }
            key in section.namedTables -> checkTable(key) { checkNames(key) }
            else -> reportError(key, "is not a known key${keySuggestion(key)}")
        }
    }

    private fun checkTable(
        key: String,
        check: () -> Unit,
    ) = if (table.get(listOf(key)) is TomlTable) check() else reportError(key, "must be a table")

    private fun checkNames(key: String) {
        val parent = table.get(listOf(key)) as TomlTable
        parent.keySet().forEach { name ->
            val child = parent.get(listOf(name))
            if (child !is TomlTable) reportError("$key.$name", "must be a table")
            if (!namePattern.matches(name)) {
                reportError("$key.$name", "name must be 1 to 63 characters of a-z, 0-9, '-'")
            }
        }
        namedTables(key).forEach { (_, child) -> child.checkKeys() }
    }

    private fun keySuggestion(key: String): String {
        val known =
            section.fields.filter { it.replacedBy == null }.map { it.key } +
                section.tables.keys +
                section.namedTables.keys
        val nearest = known.minByOrNull { editDistance(key, it) } ?: return ""
        return if (editDistance(key, nearest) <=
            MAX_SUGGESTED_EDITS
        ) {
            "; did you mean $nearest?"
        } else {
            "; known keys: ${known.joinToString()}"
        }
    }

    private fun pathOf(key: String) = if (path.isEmpty()) key else "$path.$key"

    private fun lineOf(key: String): Int? = table.inputPositionOf(key.split('.').take(1))?.line()

    private companion object {
        const val MAX_SUGGESTED_EDITS = 2
    }
}

private fun editDistance(
    a: String,
    b: String,
): Int {
    var previous = IntArray(b.length + 1) { it }
    for (i in 1..a.length) {
        val row = IntArray(b.length + 1) { i }
        for (j in 1..b.length) {
            val substitutionCost = if (a[i - 1] == b[j - 1]) 0 else 1
            row[j] = minOf(row[j - 1] + 1, previous[j] + 1, previous[j - 1] + substitutionCost)
        }
        previous = row
    }
    return previous[b.length]
}
