/*
 * Difference of two declarations, computed value by value over their JSON representations.
 */
package io.guavashore.ctl

import io.guavashore.api.Declaration
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.jsonPrimitive

/** Changed values as pairs of old and new, by path. Null means absent. */
internal fun diff(
    before: Declaration?,
    after: Declaration,
): Map<String, Pair<String?, String?>> {
    val old = before?.let { flatten(prettyJson.encodeToJsonElement(it)) }.orEmpty()
    val new = flatten(prettyJson.encodeToJsonElement(after))
    return (old.keys + new.keys)
        .filter { old[it] != new[it] }
        .sorted()
        .associateWith { old[it] to new[it] }
}

/** One line per change: `+` for an added value, `-` for a removed one, `~` for a changed one. */
internal fun render(changes: Map<String, Pair<String?, String?>>): String =
    changes.entries.joinToString("\n") { (path, change) ->
        val (old, new) = change
        when {
            old == null -> "+ $path = $new"
            new == null -> "- $path = $old"
            else -> "~ $path: $old -> $new"
        }
    }

private fun flatten(
    element: JsonElement,
    path: String = "",
): Map<String, String> =
    when (element) {
        is JsonPrimitive -> mapOf(path to element.content)
        is JsonObject -> element.entries.fold(emptyMap()) { all, (key, value) -> all + flatten(value, join(path, key)) }
        is JsonArray ->
            element.foldIndexed(emptyMap()) { index, all, value ->
                all + flatten(value, join(path, keyOf(value, index)))
            }
    }

private fun join(
    path: String,
    key: String,
) = if (path.isEmpty()) key else "$path.$key"

/** List elements are identified by their id or zone, so that an inserted element does not change the others' paths. */
private fun keyOf(
    element: JsonElement,
    index: Int,
): String {
    if (element is JsonPrimitive) return element.content
    val fields = element as? JsonObject ?: return "$index"
    val name = fields["id"] ?: fields["zone"] ?: return "$index"
    return name.jsonPrimitive.contentOrNull ?: "$index"
}
