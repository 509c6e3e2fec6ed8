/*
 * Trainer of the demonstration: submits one step, pulls complete groups, and moves the step to the next entry when the
 * owner fails.
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

/** Runs one step of [groups] groups and records samples and violations in [counters]. */
internal class DemoTrainer(
    private val client: HttpClient,
    private val entries: List<String>,
    private val counters: DemoCounters,
    private val groups: Int,
) {
    private val version = AtomicLong(1)
    private val received = LinkedHashSet<String>()
    private val sampleIds = HashSet<String>()
    private var ownerIndex = 0
    private var ownerEpoch = 1L

    /** Advances the trainer to the next weight version and returns it, to be published. */
    fun advanceVersion(): Long = version.incrementAndGet()

    /** Runs the step to its end; [onHalfReceived] is called once, when half of the groups have been received. */
    suspend fun run(onHalfReceived: () -> Unit) {
        var halfReceived = false
        submitStep()
        while (true) {
            val pull = pull()
            if (pull == null) {
                moveToNextEntry()
                continue
            }
            pull.groups.forEach(::recordGroup)
            if (!halfReceived && received.size >= groups / 2) {
                halfReceived = true
                onHalfReceived()
            }
            if (pull.complete) return
        }
    }

    private suspend fun submitStep() {
        while (true) {
            val response =
                nullOnFailure {
                    withTimeoutOrNull(CALL_TIMEOUT_MS) { client.put(stepUrl()) { jsonBodyWithKey(stepBody()) } }
                }
            if (response?.status?.isSuccess() == true) return
            if (response != null) println("step not accepted: status=${response.status} body=${response.bodyAsText()}")
            ownerIndex = (ownerIndex + 1) % entries.size
            ownerEpoch++
            delay(RETRY_DELAY_MS)
        }
    }

    /** A complete pull response, or null if the owner failed or does not know the step. */
    private suspend fun pull(): DemoPull? {
        val statedVersion = version.get()
        val body =
            """{"owner_epoch":$ownerEpoch,"stated_version":$statedVersion,"received":${jsonArray(
                received,
            )},"max_groups":8,"wait_ms":500}"""
        val response =
            nullOnFailure {
                withTimeoutOrNull(CALL_TIMEOUT_MS) { client.post("${stepUrl()}/pull") { jsonBodyWithKey(body) } }
            }
                ?: return null
        return read(response, statedVersion)
    }

    private suspend fun read(
        response: HttpResponse,
        statedVersion: Long,
    ): DemoPull? {
        val text = nullOnFailure { response.bodyAsText() } ?: return null
        if (response.status != HttpStatusCode.OK) {
            println("pull refused: status=${response.status} body=$text")
            return null
        }
        val pull = Json.decodeFromString<DemoPull>(text)
        val oldestAllowed = statedVersion - MAX_STALENESS
        counters.stale.addAndGet(
            pull.groups.flatMap { it.samples }.count { sample ->
                sample.spans.any {
                    it.version <
                        oldestAllowed
                }
            },
        )
        return pull
    }

    private fun recordGroup(group: DemoGroup) {
        if (!received.add(group.id)) counters.duplicates.addAndGet(group.samples.size)
        group.samples.forEach { sample ->
            if (!sampleIds.add(sample.id)) counters.duplicates.incrementAndGet()
            if (!isCorrectlyLabelled(group, sample)) counters.unlabelled.incrementAndGet()
            counters.versions += sample.spans.map { it.version }
            counters.delivered.incrementAndGet()
        }
    }

    /** True if each token matches the weight version of its span. */
    private fun isCorrectlyLabelled(
        group: DemoGroup,
        sample: DemoSample,
    ): Boolean {
        val versions = sample.spans.flatMap { span -> List(span.count) { span.version } }
        val seed = sample.id.substringAfterLast('/').toLong()
        val prompt = promptOf(group.id)
        return versions.size == sample.tokens.size &&
            sample.tokens.withIndex().all { (index, token) -> token == tokenAt(prompt, seed, index, versions[index]) }
    }

    private suspend fun moveToNextEntry() {
        counters.entryChanges.incrementAndGet()
        ownerIndex = (ownerIndex + 1) % entries.size
        ownerEpoch++
        submitStep()
    }

    private fun stepUrl() = "${entries[ownerIndex]}/v1/demo/trainers/trainer/steps/step-1"

    private fun stepBody(): String {
        val groupBodies = List(groups) { groupBody("g$it") }.joinToString(",")
        val stepFields = """"step":"step-1","owner_epoch":$ownerEpoch,"deadline_ms":0"""
        return """{$stepFields,"stated_version":${version.get()},"groups":[$groupBodies],""" +
            """"received":${jsonArray(received)}}"""
    }

    private fun groupBody(id: String) =
        """{"id":"$id","prompt":${promptOf(id)},"samples":$SAMPLES_PER_GROUP,"max_tokens":$TOKENS}"""

    private fun promptOf(group: String) = listOf(group.removePrefix("g").toInt() + 1, 1, 2)

    private fun jsonArray(values: Collection<String>) = values.joinToString(",", "[", "]") { "\"$it\"" }

    private fun io.ktor.client.request.HttpRequestBuilder.jsonBodyWithKey(body: String) {
        header(HttpHeaders.Authorization, "Bearer ${DemoCallers.APP_KEY}")
        contentType(ContentType.Application.Json)
        setBody(body)
    }

    companion object {
        const val SAMPLES_PER_GROUP = 8
        private const val TOKENS = 24
        private const val MAX_STALENESS = 2
        private const val CALL_TIMEOUT_MS = 5_000L
        private const val RETRY_DELAY_MS = 300L
    }
}
