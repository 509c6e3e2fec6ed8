/*
 * Trainer of the demonstration: puts one step, pulls whole groups and turns to another entry when its own is gone.
 */
package io.guavashore.standin

import io.ktor.client.HttpClient
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.util.concurrent.atomic.AtomicLong

@Serializable
private data class DemoSample(
    val id: String,
    val tokens: List<Int>,
    val spans: List<DemoSpan>,
    val score: Double,
)

@Serializable
private data class DemoGroup(
    val id: String,
    val samples: List<DemoSample>,
)

@Serializable
private data class DemoPull(
    val groups: List<DemoGroup>,
    val complete: Boolean,
)

/** Trainer of one demonstration. */
internal class DemoTrainer(
    private val client: HttpClient,
    private val entries: List<String>,
    private val tally: DemoTally,
    private val groups: Int,
) {
    private val version = AtomicLong(1)
    private val received = LinkedHashSet<String>()
    private val samples = HashSet<String>()
    private var owner = 0
    private var ownerEpoch = 1L

    /** Version that the trainer has reached, published as new weights. */
    fun nextVersion(): Long = version.incrementAndGet()

    /** Runs the step to its end; [onHalf] is called once, when half of the groups are there. */
    suspend fun run(onHalf: () -> Unit) {
        var half = false
        put()
        while (true) {
            val pull = pull()
            if (pull == null) {
                turnToNext()
                continue
            }
            pull.groups.forEach(::accept)
            if (!half && received.size >= groups / 2) {
                half = true
                onHalf()
            }
            if (pull.complete) return
        }
    }

    private suspend fun put() {
        while (true) {
            val response = attempt { withTimeoutOrNull(CALL_MS) { client.put(stepUrl()) { authorised(stepBody()) } } }
            if (response?.status?.isSuccess() == true) return
            if (response != null) println("step not accepted: ${response.status} ${response.bodyAsText()}")
            owner = (owner + 1) % entries.size
            ownerEpoch++
            delay(RETRY_MS)
        }
    }

    /** A whole answer, or null if the owner is gone or does not know the step. */
    private suspend fun pull(): DemoPull? {
        val stated = version.get()
        val body =
            """{"owner_epoch":$ownerEpoch,"stated_version":$stated,"received":${names(
                received,
            )},"max_groups":8,"wait_ms":500}"""
        val response =
            attempt { withTimeoutOrNull(CALL_MS) { client.post("${stepUrl()}/pull") { authorised(body) } } }
                ?: return null
        return read(response, stated)
    }

    private suspend fun read(
        response: HttpResponse,
        stated: Long,
    ): DemoPull? {
        val text = attempt { response.bodyAsText() } ?: return null
        if (response.status != HttpStatusCode.OK) {
            println("pull refused: ${response.status} $text")
            return null
        }
        val pull = Json.decodeFromString<DemoPull>(text)
        val oldest = stated - MAX_STALENESS
        tally.stale.addAndGet(
            pull.groups.flatMap { it.samples }.count { sample ->
                sample.spans.any {
                    it.version <
                        oldest
                }
            },
        )
        return pull
    }

    private fun accept(group: DemoGroup) {
        if (!received.add(group.id)) tally.duplicates.addAndGet(group.samples.size)
        group.samples.forEach { sample ->
            if (!samples.add(sample.id)) tally.duplicates.incrementAndGet()
            if (!isLabelled(group, sample)) tally.unlabelled.incrementAndGet()
            tally.versions += sample.spans.map { it.version }
            tally.delivered.incrementAndGet()
        }
    }

    /** The tokens must be those that the labelled versions give. */
    private fun isLabelled(
        group: DemoGroup,
        sample: DemoSample,
    ): Boolean {
        val versions = sample.spans.flatMap { span -> List(span.count) { span.version } }
        val seed = sample.id.substringAfterLast('/').toLong()
        val prompt = promptOf(group.id)
        return versions.size == sample.tokens.size &&
            sample.tokens.withIndex().all { (index, token) -> token == tokenAt(prompt, seed, index, versions[index]) }
    }

    private suspend fun turnToNext() {
        tally.moves.incrementAndGet()
        owner = (owner + 1) % entries.size
        ownerEpoch++
        put()
    }

    private fun stepUrl() = "${entries[owner]}/v1/demo/trainers/trainer/steps/step-1"

    private fun stepBody(): String {
        val all = List(groups) { groupBody("g$it") }.joinToString(",")
        val owner = """"step":"step-1","owner_epoch":$ownerEpoch,"deadline_ms":0"""
        return """{$owner,"stated_version":${version.get()},"groups":[$all],"received":${names(received)}}"""
    }

    private fun groupBody(id: String) =
        """{"id":"$id","prompt":${promptOf(id)},"samples":$SAMPLES_PER_GROUP,"max_tokens":$TOKENS}"""

    private fun promptOf(group: String) = listOf(group.removePrefix("g").toInt() + 1, 1, 2)

    private fun names(all: Collection<String>) = all.joinToString(",", "[", "]") { "\"$it\"" }

    private fun io.ktor.client.request.HttpRequestBuilder.authorised(body: String) {
        header(HttpHeaders.Authorization, "Bearer ${DemoCallers.APP_KEY}")
        contentType(ContentType.Application.Json)
        setBody(body)
    }

    companion object {
        const val SAMPLES_PER_GROUP = 8
        private const val TOKENS = 24
        private const val MAX_STALENESS = 2
        private const val CALL_MS = 5_000L
        private const val RETRY_MS = 300L
    }
}
