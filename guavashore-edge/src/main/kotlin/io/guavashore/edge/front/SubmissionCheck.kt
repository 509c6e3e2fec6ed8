/*
 * What must hold of a batch before it is accepted, so that none of its items can fail for a fault of its submission
 * when it runs, or put bytes of its caller's choice onto the connection of another request.
 */
package io.guavashore.edge.front

import io.guavashore.edge.batches.BatchRecord
import io.guavashore.edge.batches.ItemSpec
import io.guavashore.edge.batches.ScorerSpec
import io.guavashore.edge.declared.RouteKind
import io.guavashore.edge.declared.EdgeDeclaration

/** Why [record] can't be accepted under [map], with the item and the remedy; null if it can. */
fun submissionProblem(
    record: BatchRecord,
    map: EdgeDeclaration,
): BadSubmission? {
    val repeated =
        record.itemIds
            .groupingBy { it }
            .eachCount()
            .entries
            .firstOrNull { it.value > 1 }
    if (repeated != null) return BadSubmission("item ${repeated.key} is listed ${repeated.value} times; list it once")
    return record.items.firstNotNullOfOrNull { item ->
        problemOf(item, map)?.let { BadSubmission("item ${item.id.value.take(LONGEST_QUOTE)}: $it") }
    }
}

private fun problemOf(
    item: ItemSpec,
    map: EdgeDeclaration,
): String? =
    when {
        !isPath(item.path) -> "its path must begin with / and hold printable characters without spaces"
        !isFieldValue(item.id.value) -> "its id must hold printable characters"
        !item.headers.all { (name, value) -> isFieldName(name) && isFieldValue(value) } ->
            "a header field has a name or a value that HTTP does not allow"
        else -> item.scorer?.let { problemOf(it, map) }
    }

private fun problemOf(
    scorer: ScorerSpec,
    map: EdgeDeclaration,
): String? {
    if (!isPath(scorer.path)) return "its scorer's path must begin with / and hold printable characters without spaces"
    val values = listOf(scorer.host, scorer.id.value)
    if (!values.all { it.isNotEmpty() && isFieldValue(it) }) return "its scorer's host and id must be printable"
    val route =
        map.route(scorer.host, scorer.path)
            ?: return "its scorer has no route for host ${scorer.host} and path ${scorer.path}; declare one"
    return if (route.kind == RouteKind.SAFE) {
        null
    } else {
        "its scorer's route ${route.id} is ${route.kind}; a score call needs a route whose requests may be repeated"
    }
}

private fun isPath(text: String) = text.startsWith('/') && text.all { it in VISIBLE }

private fun isFieldName(text: String) = text.isNotEmpty() && text.all { it.isLetterOrDigit() || it in NAME_MARKS }

private fun isFieldValue(text: String) = text.all { it == '\t' || it == ' ' || it in VISIBLE || it.code >= FIRST_OTHER }

/** Visible characters of ASCII. */
private val VISIBLE = '!'..'~'
private const val NAME_MARKS = "!#$%&'*+-.^_`|~"

/** First character beyond ASCII's control characters. */
private const val FIRST_OTHER = 0x80
private const val LONGEST_QUOTE = 64
