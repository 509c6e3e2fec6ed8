/*
 * Fields of settings; each declares its type, bounds, default and description.
 */
package io.guavashore.settings

import org.tomlj.TomlArray

/** Converts a parsed TOML value; returns null if the value has the wrong type or is not a valid choice. */
typealias ReadValue<T> = (Any) -> T?

/** Validates a value of the right type; returns an error message, or null if the value is valid. */
typealias CheckValue<T> = (T) -> String?

/**
 * Field of a section.
 *
 * @property doc description for operators
 * @property expected description of valid values, for error messages and the schema's text
 * @property default value if the field is absent; null if the field is required
 * @property replacedBy key that replaces a deprecated field; null if the field is not deprecated
 */
class Field<T : Any>(
    val key: String,
    val doc: String,
    val expected: String,
    val default: T?,
    val replacedBy: String? = null,
    internal val read: ReadValue<T>,
    internal val check: CheckValue<T> = { null },
)

/** String field; if [pattern] is given, the value must match it. */
fun textField(
    key: String,
    doc: String,
    default: String? = null,
    pattern: Regex? = null,
    expected: String = "a string",
): Field<String> =
    Field(
        key = key,
        doc = doc,
        expected = expected,
        default = default,
        read = { it as? String },
        check = { if (pattern == null || pattern.matches(it)) null else "must be $expected" },
    )

/** Integer field with values in [range]. */
fun longField(
    key: String,
    doc: String,
    range: LongRange,
    default: Long? = null,
    replacedBy: String? = null,
): Field<Long> =
    Field(
        key = key,
        doc = doc,
        expected = "a whole number from ${range.first} to ${range.last}",
        default = default,
        replacedBy = replacedBy,
        read = { it as? Long },
        check = { if (it in range) null else "must be from ${range.first} to ${range.last}, is $it" },
    )

/** Decimal field with values in [range]; integers are accepted too. */
fun decimalField(
    key: String,
    doc: String,
    range: ClosedFloatingPointRange<Double>,
    default: Double? = null,
): Field<Double> =
    Field(
        key = key,
        doc = doc,
        expected = "a number from ${range.start} to ${range.endInclusive}",
        default = default,
        read = { (it as? Double) ?: (it as? Long)?.toDouble() },
        check = { if (it in range) null else "must be from ${range.start} to ${range.endInclusive}, is $it" },
    )

/** Boolean field. */
fun booleanField(
    key: String,
    doc: String,
    default: Boolean,
): Field<Boolean> =
    Field(
        key = key,
        doc = doc,
        expected = "true or false",
        default = default,
        read = { it as? Boolean },
    )

/** Field whose value is one of the keys of [choices]; reading maps it to the choice's value. */
fun <T : Any> choiceField(
    key: String,
    doc: String,
    choices: Map<String, T>,
    default: T? = null,
): Field<T> {
    val names = choices.keys.joinToString(" or ") { "\"$it\"" }
    return Field(
        key = key,
        doc = doc,
        expected = names,
        default = default,
        read = { (it as? String)?.let(choices::get) },
    )
}

/** Field with a list of strings; if [pattern] is given, each must match it. */
fun textListField(
    key: String,
    doc: String,
    default: List<String>? = emptyList(),
    pattern: Regex? = null,
    expected: String = "a list of strings",
): Field<List<String>> =
    Field(
        key = key,
        doc = doc,
        expected = expected,
        default = default,
        read = { value ->
            (value as? TomlArray)
                ?.toList()
                ?.takeIf { all ->
                    all.all { it is String }
                }?.map { it as String }
        },
        check = { all -> all.firstOrNull { pattern?.matches(it) == false }?.let { "must be $expected, has \"$it\"" } },
    )
