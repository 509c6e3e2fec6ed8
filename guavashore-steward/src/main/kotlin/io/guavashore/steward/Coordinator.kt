/*
 * Duties of the one steward that holds the coordinator's lease: shares of organisations' limits, the list of VMs, and
 * usage reports.
 */
package io.guavashore.steward

import com.github.michaelbull.result.onSuccess
import io.guavashore.admission.ResourceId
import io.guavashore.admission.ShareAllocator
import io.guavashore.admission.ShareLimits
import io.guavashore.api.FencingNumber
import io.guavashore.api.MonotonicClock
import io.guavashore.membership.Fact
import io.guavashore.membership.FactVersion
import io.guavashore.platform.Platform
import io.guavashore.usage.UsageReporter
import io.guavashore.usage.UsageSchedule
import io.guavashore.wire.ControlMessage
import io.guavashore.wire.FactKeys
import io.guavashore.wire.SharedResources
import kotlinx.serialization.json.Json

/** Coordinator for one term of its lease. */
internal class Coordinator(
    private val fencingNumber: FencingNumber,
    private val platform: Platform,
    private val reporter: UsageReporter,
    private val state: StewardState,
    private val clock: MonotonicClock,
) {
    private val allocator = ShareAllocator(startedAtMs = clock())
    private var vmsSequence = 0L
    private var publishedVms = ""
    private var listedAtMs = Long.MIN_VALUE / 2

    /** One round of all duties. */
    suspend fun step() {
        publishVms()
        reporter.step(state.declarations().map { UsageSchedule(it.team, it.usageWindowMs) })
    }

    /** Shares of organisations' limits for an entry. */
    fun report(request: ControlMessage.ShareRequest): Map<ResourceId, Long> {
        val totals =
            state.declarations().flatMap { team ->
                team.organisations.flatMap { SharedResources.limits(team.team, it).toList() }
            }
        return synchronized(allocator) {
            allocator.report(request.vm, request.demands, ShareLimits(totals.toMap(), state.listedEntries()), clock())
        }
    }

    private suspend fun publishVms() {
        if (clock() - listedAtMs < LIST_EVERY_MS) return
        listedAtMs = clock()
        platform.listVms().onSuccess { rows ->
            val content = Json.encodeToString(rows.sortedBy { it.vm })
            if (content == publishedVms) return@onSuccess
            publishedVms = content
            state.facts.offer(Fact(FactVersion(FactKeys.VMS, fencingNumber.value, ++vmsSequence), content))
        }
    }

    private companion object {
        const val LIST_EVERY_MS = 3_000L
    }
}
