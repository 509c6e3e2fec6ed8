/*
 * Writes the counters of an availability zone to the platform's store, so that they survive the loss of any VM.
 */
package io.guavashore.usage

import com.github.michaelbull.result.getOrElse
import io.guavashore.api.WallClock
import io.guavashore.api.ZoneId
import io.guavashore.platform.ObjectStore
import io.guavashore.platform.ObjectVersion
import kotlinx.serialization.json.Json

/** Writer of one zone's counters. Concurrent writers are harmless, since counters are merged by maximum. */
class ZoneUsageWriter(
    private val zone: ZoneId,
    private val mergedUsage: MergedUsage,
    private val store: ObjectStore,
    private val wallClock: WallClock,
    private val retentionMs: Long = 900_000,
) {
    private var lastWritten: ZoneUsage? = null

    /**
     * Merges the stored counters with those of this process, and writes the result. Does nothing if the counters have
     * not changed since the last write. Returns false if the store failed.
     */
    suspend fun write(): Boolean {
        mergedUsage.removeBefore(wallClock() - retentionMs)
        if (lastWritten?.counters?.toSet() == mergedUsage.counters().toSet()) return true
        val stored = store.read(zoneUsagePath(zone)).getOrElse { return false }
        stored?.let { mergedUsage.merge(Json.decodeFromString<ZoneUsage>(it.value).counters) }
        mergedUsage.removeBefore(wallClock() - retentionMs)
        val usage = ZoneUsage(mergedUsage.counters())
        val version = stored?.version ?: ObjectVersion.ABSENT
        store.write(zoneUsagePath(zone), Json.encodeToString(usage), version).getOrElse { return false }
        lastWritten = usage
        return true
    }
}
