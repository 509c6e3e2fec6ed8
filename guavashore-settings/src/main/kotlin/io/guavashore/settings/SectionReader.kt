/*
 * Reads a TOML table by its section and collects all faults instead of stopping at the first.
 */
package io.guavashore.settings

import org.tomlj.Toml
import org.tomlj.TomlTable

/** Faults found so far. */
internal class Faults {
    private val all = mutableListOf<Fault>()

    val list: List<Fault> get() = all.sortedBy { it.line ?: 0 }

    fun add(
        path: String,
        line: Int?,
        message: String,
    ) {
        all += Fault(path, line, message)
    }
}

/** Parses [text]; syntax errors become faults, and what can be read is read. */
internal fun readToml(
    text: String,
    section: Section,
    faults: Faults,
): SectionReader {
    val parsed = Toml.parse(text)
    parsed.errors().forEach { faults.add("syntax", it.position().line(), it.message.orEmpty()) }
    return SectionReader(parsed, section, path = "", faults).also { it.checkKeys() }
}

/** A table and its section. Reading a faulty field adds a fault and returns the default, or a stand-in of its type. */
internal class SectionReader(
    private val table: TomlTable,
    private val section: Section,
    private val path: String,
    private val faults: Faults,
) {
    /** Value of [field], or null if it is absent or faulty and has no default. */
    operator fun <T : Any> get(field: Field<T>): T? {
        val raw = table.get(listOf(field.key))
        if (raw == null) {
            if (field.default == null) fault(field.key, "is missing; give ${field.form}")
            return field.default
        }
        val value = field.read(raw)
        if (value == null) {
            fault(field.key, "must be ${field.form}")
            return field.default
        }
        val problem = field.check(value) ?: return value
        fault(field.key, problem)
        return field.default
    }

    /** Fixed sub-table [key], empty if absent. */
    fun table(key: String): SectionReader {
        val child = table.get(listOf(key)) as? TomlTable ?: Toml.parse("")
        return SectionReader(child, section.tables.getValue(key), pathOf(key), faults)
    }

    /** Sub-tables under [key] by the names that the operator chose. */
    fun named(key: String): List<Pair<String, SectionReader>> {
        val parent = table.get(listOf(key)) as? TomlTable ?: return emptyList()
        val child = section.named.getValue(key)
        return parent.keySet().sorted().mapNotNull { name ->
            (parent.get(listOf(name)) as? TomlTable)?.let {
                name to SectionReader(it, child, "${pathOf(key)}.$name", faults)
            }
        }
    }

    fun fault(
        key: String,
        message: String,
    ) = faults.add(pathOf(key), lineOf(key), message)

    /** Adds faults for keys that the section does not have, here and below. */
    fun checkKeys() {
        table.keySet().forEach(::checkKey)
    }

    private fun checkKey(key: String) {
        val field = section.fields.firstOrNull { it.key == key }
        when {
            field?.replacedBy != null -> fault(key, "is deprecated; use ${field.replacedBy}")
            field != null -> Unit
            key in section.tables -> checkTable(key) { table(key).checkKeys() }
            key in section.named -> checkTable(key) { checkNames(key) }
            else -> fault(key, "is not a known key${closest(key)}")
        }
    }

    private fun checkTable(
        key: String,
        check: () -> Unit,
    ) = if (table.get(listOf(key)) is TomlTable) check() else fault(key, "must be a table")

    private fun checkNames(key: String) {
        val parent = table.get(listOf(key)) as TomlTable
        parent.keySet().forEach { name ->
            val child = parent.get(listOf(name))
            if (child !is TomlTable) fault("$key.$name", "must be a table")
            if (!nameForm.matches(name)) fault("$key.$name", "names are 1 to 63 of a-z, 0-9 and '-'")
        }
        named(key).forEach { (_, child) -> child.checkKeys() }
    }

    private fun closest(key: String): String {
        val known =
            section.fields.filter { it.replacedBy == null }.map { it.key } + section.tables.keys + section.named.keys
        val near = known.minByOrNull { editDistance(key, it) } ?: return ""
        return if (editDistance(key, near) <=
            MAX_TYPOS
        ) {
            "; did you mean $near?"
        } else {
            "; known here: ${known.joinToString()}"
        }
    }

    private fun pathOf(key: String) = if (path.isEmpty()) key else "$path.$key"

    private fun lineOf(key: String): Int? = table.inputPositionOf(key.split('.').take(1))?.line()

    private companion object {
        const val MAX_TYPOS = 2
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
            val change = if (a[i - 1] == b[j - 1]) 0 else 1
            row[j] = minOf(row[j - 1] + 1, previous[j] + 1, previous[j - 1] + change)
        }
        previous = row
    }
    return previous[b.length]
}
