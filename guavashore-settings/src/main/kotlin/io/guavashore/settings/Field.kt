/*
 * Fields of settings, each declared once with its type, bounds, default and doc.
 */
package io.guavashore.settings

import org.tomlj.TomlArray

/** Reads a value as TOML gives it; returns null if it has the wrong type or form. */
typealias ReadValue<T> = (Any) -> T?

/** Checks a value of the right type; returns what is wrong with it, or null. */
typealias CheckValue<T> = (T) -> String?

/**
 * A field.
 *
 * @property form what the value must be, for messages and docs
 * @property default value if the field is absent; null if it is required
 * @property replacedBy key to use instead if the field is deprecated
 */
class Field<T : Any>(
    val key: String,
    val doc: String,
    val form: String,
    val default: T?,
    val replacedBy: String? = null,
    internal val read: ReadValue<T>,
    internal val check: CheckValue<T> = { null },
)

/** Text, of a form if [pattern] is given. */
fun textField(
    key: String,
    doc: String,
    default: String? = null,
    pattern: Regex? = null,
    form: String = "text",
): Field<String> =
    Field(
        key = key,
        doc = doc,
        form = form,
        default = default,
        read = { it as? String },
        check = { if (pattern == null || pattern.matches(it)) null else "must be $form" },
    )

/** Whole number within [range]. */
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
        form = "a whole number from ${range.first} to ${range.last}",
        default = default,
        replacedBy = replacedBy,
        read = { it as? Long },
        check = { if (it in range) null else "must be from ${range.first} to ${range.last}, is $it" },
    )

/** Number within [range]; whole numbers are accepted. */
fun decimalField(
    key: String,
    doc: String,
    range: ClosedFloatingPointRange<Double>,
    default: Double? = null,
): Field<Double> =
    Field(
        key = key,
        doc = doc,
        form = "a number from ${range.start} to ${range.endInclusive}",
        default = default,
        read = { (it as? Double) ?: (it as? Long)?.toDouble() },
        check = { if (it in range) null else "must be from ${range.start} to ${range.endInclusive}, is $it" },
    )

/** `true` or `false`. */
fun booleanField(
    key: String,
    doc: String,
    default: Boolean,
): Field<Boolean> = Field(key = key, doc = doc, form = "true or false", default = default, read = { it as? Boolean })

/** One of the names in [choices]. */
fun <T : Any> choiceField(
    key: String,
    doc: String,
    choices: Map<String, T>,
    default: T? = null,
): Field<T> {
    val names = choices.keys.joinToString(" or ") { "\"$it\"" }
    return Field(key = key, doc = doc, form = names, default = default, read = { (it as? String)?.let(choices::get) })
}

/** List of texts. */
fun textListField(
    key: String,
    doc: String,
    default: List<String>? = emptyList(),
    pattern: Regex? = null,
    form: String = "a list of texts",
): Field<List<String>> =
    Field(
        key = key,
        doc = doc,
        form = form,
        default = default,
        read = { value ->
            (value as? TomlArray)
                ?.toList()
                ?.takeIf { all ->
                    all.all { it is String }
                }?.map { it as String }
        },
        check = { all -> all.firstOrNull { pattern?.matches(it) == false }?.let { "must be $form, has \"$it\"" } },
    )
