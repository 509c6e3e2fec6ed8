package io.guavashore.edge.streams

import io.guavashore.api.ServiceId
import io.guavashore.edge.batches.FaultyStore
import io.guavashore.edge.declared.SoftwareVersion
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreResponse
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.Json
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class StreamRecordCleanerTest {
    private var nowMs = 1_000L
    private val store = FaultyStore(Random(1), faultRate = 0.0)
    private val service = ServiceId("engines")
    private var listed = setOf("v1", "v2")
    private val cleaner =
        StreamRecordCleaner(
            call = store::call,
            listed = { listed.mapTo(HashSet()) { StreamOrigin(service, SoftwareVersion(it)) } },
            clock = { nowMs },
            wallClock = { nowMs },
        )

    private suspend fun recorded(): List<String> {
        val read = store.call(StoreCall.Read(SOFTWARE_VERSIONS, service.value), 0).value as StoreResponse.Entry
        return versionsIn(read.entry).map { it.value }.sorted()
    }

    private suspend fun record(vararg versions: String) {
        val content = Json.encodeToString(VersionRecord(versions.mapTo(HashSet(), ::SoftwareVersion)))
        store.call(StoreCall.Create(SOFTWARE_VERSIONS, service.value, content), 0)
    }

    @Test
    fun `a version is removed once no target has had it for ten minutes`() =
        runTest {
            record("v1", "v2")
            cleaner.clean()
            listed = setOf("v2")
            nowMs += 599_000
            cleaner.clean()
            assertEquals(listOf("v1", "v2"), recorded())
            nowMs += 2_000
            cleaner.clean()
            assertEquals(listOf("v2"), recorded())
        }

    @Test
    fun `the last versions of a service without targets are kept`() =
        runTest {
            record("v1")
            listed = emptySet()
            repeat(2) {
                cleaner.clean()
                nowMs += 700_000
            }
            assertEquals(listOf("v1"), recorded())
        }
}
