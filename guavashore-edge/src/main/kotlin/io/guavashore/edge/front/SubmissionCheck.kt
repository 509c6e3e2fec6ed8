/*
 * Validates a batch before it is accepted. This ensures that no item fails later because of an error in its submission,
 * and that no caller can inject bytes into the connection of another request.
 */
package io.guavashore.edge.front

import io.guavashore.edge.batches.BatchRecord
import io.guavashore.edge.batches.ItemSpec
import io.guavashore.edge.batches.ScorerSpec
import io.guavashore.edge.declared.EdgeDeclaration
import io.guavashore.edge.declared.RouteKind

/** Reason for which [record] is invalid under [declaration], with the item and the remedy; null if it is valid. */
fun submissionProblem(
    record: BatchRecord,
    declaration: EdgeDeclaration,
): BadSubmission? {
    val duplicate =
        record.itemIds
            .groupingBy { it }
            .eachCount()
            .entries
            .firstOrNull { it.value > 1 }
    if (duplicate != null) {
        return BadSubmission("item ${duplicate.key} is listed ${duplicate.value} times; list it once")
    }
    return record.items.firstNotNullOfOrNull { item ->
        problemOf(item, declaration)?.let { BadSubmission("item ${item.id.value.take(MAX_QUOTED_ID_CHARS)}: $it") }
    }
}

private fun problemOf(
    item: ItemSpec,
    declaration: EdgeDeclaration,
): String? =
    when {
        !isPath(item.path) -> "its path must begin with / and contain only printable ASCII characters without spaces"
        !isFieldValue(item.id.value) -> "its id must contain only printable characters"
        !item.headers.all { (name, value) -> isFieldName(name) && isFieldValue(value) } ->
            "a header field has a name or value that HTTP does not allow"
        else -> item.scorer?.let { problemOf(it, declaration) }
    }

private fun problemOf(
    scorer: ScorerSpec,
    declaration: EdgeDeclaration,
): String? {
    if (!isPath(scorer.path)) {
        return "its scorer's path must begin with / and contain only printable ASCII characters without spaces"
    }
    val values = listOf(scorer.host, scorer.id.value)
    if (!values.all { it.isNotEmpty() && isFieldValue(it) }) {
        return "its scorer's host and id must be non-empty and printable"
    }
    val route =
        declaration.route(scorer.host, scorer.path)
            ?: return "no route is declared for its scorer's host ${scorer.host} and path ${scorer.path}; declare one"
    return if (route.kind == RouteKind.SAFE) {
        null
    } else {
        "its scorer's route ${route.id} is ${route.kind}; a score call needs a route whose requests may be repeated"
    }
}

private fun isPath(text: String) = text.startsWith('/') && text.all { it in PRINTABLE }

private fun isFieldName(text: String) =
    text.isNotEmpty() && text.all { it.isLetterOrDigit() || it in FIELD_NAME_SYMBOLS }

private fun isFieldValue(text: String) =
    text.all { it == '\t' || it == ' ' || it in PRINTABLE || it.code >= FIRST_NON_ASCII }

/** Printable ASCII characters without the space. */
private val PRINTABLE = '!'..'~'
private const val FIELD_NAME_SYMBOLS = "!#$%&'*+-.^_`|~"

/** Code of the first character outside ASCII. */
private const val FIRST_NON_ASCII = 0x80
private const val MAX_QUOTED_ID_CHARS = 64
