/*
 * Keeps the counters of an availability zone in the platform's store, so that they outlive any VM.
 */
package io.guavashore.usage

import com.github.michaelbull.result.getOrElse
import io.guavashore.api.WallClock
import io.guavashore.api.ZoneId
import io.guavashore.platform.ObjectStore
import io.guavashore.platform.ObjectVersion
import kotlinx.serialization.json.Json

/** Writer of one zone; several at once do no harm, since counters are merged by maximum. */
class ZoneUsageWriter(
    private val zone: ZoneId,
    private val merge: UsageMerge,
    private val store: ObjectStore,
    private val wallClock: WallClock,
    private val keepMs: Long = 900_000,
) {
    private var written: ZoneUsage? = null

    /** Merges the store's counters with this process's and writes them back if they differ; true unless it failed. */
    suspend fun write(): Boolean {
        merge.forgetBefore(wallClock() - keepMs)
        if (written?.counters?.toSet() == merge.counters().toSet()) return true
        val found = store.read(zoneUsagePath(zone)).getOrElse { return false }
        found?.let { merge.merge(Json.decodeFromString<ZoneUsage>(it.value).counters) }
        merge.forgetBefore(wallClock() - keepMs)
        val usage = ZoneUsage(merge.counters())
        val version = found?.version ?: ObjectVersion.ABSENT
        store.write(zoneUsagePath(zone), Json.encodeToString(usage), version).getOrElse { return false }
        written = usage
        return true
    }
}
