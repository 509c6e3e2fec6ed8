/*
 * Tasks of the steward that holds the coordinator's lease: dividing organisations' limits among the entries, publishing
 * the list of VMs, and sending usage reports.
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

/** Coordinator for one term of its lease, identified by [fencingNumber]. */
internal class Coordinator(
    private val fencingNumber: FencingNumber,
    private val platform: Platform,
    private val reporter: UsageReporter,
    private val state: StewardState,
    private val clock: MonotonicClock,
) {
    private val allocator = ShareAllocator(startedAtMs = clock())
    private var vmsSequence = 0L
    private var publishedContent = ""
    private var lastListedAtMs = Long.MIN_VALUE / 2

    /** Runs one round of the periodic tasks. */
    suspend fun step() {
        publishVms()
        reporter.step(state.declarations().map { UsageSchedule(it.team, it.usageWindowMs) })
    }

    /** Records the demands of an entry and returns its shares of the organisations' limits. */
    fun sharesFor(request: ControlMessage.ShareRequest): Map<ResourceId, Long> {
        val limits =
            state.declarations().flatMap { team ->
                team.organisations.flatMap { SharedResources.limits(team.team, it).toList() }
            }
        return synchronized(allocator) {
            allocator.report(request.vm, request.demands, ShareLimits(limits.toMap(), state.listedEntries()), clock())
        }
    }

    private suspend fun publishVms() {
        if (clock() - lastListedAtMs < LIST_INTERVAL_MS) return
        lastListedAtMs = clock()
        platform.listVms().onSuccess { vms ->
            val content = Json.encodeToString(vms.sortedBy { it.vm })
            if (content == publishedContent) return@onSuccess
            publishedContent = content
            state.facts.offer(Fact(FactVersion(FactKeys.VMS, fencingNumber.value, ++vmsSequence), content))
        }
    }

    private companion object {
        const val LIST_INTERVAL_MS = 3_000L
    }
}
