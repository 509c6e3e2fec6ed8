/*
 * Answers the reports of entries: facts they lack, and shares from whoever holds the leases.
 */
package io.guavashore.steward

import com.github.michaelbull.result.get
import io.guavashore.admission.Demand
import io.guavashore.admission.ResourceId
import io.guavashore.api.MonotonicClock
import io.guavashore.api.TargetTable
import io.guavashore.api.UsageCounter
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.membership.Fact
import io.guavashore.membership.FactTable
import io.guavashore.membership.FactVersion
import io.guavashore.membership.MemberRecord
import io.guavashore.usage.ChangedCounters
import io.guavashore.usage.UsageMerge
import io.guavashore.wire.ControlMessage
import io.guavashore.wire.FactKeys
import io.guavashore.wire.SharedResources
import io.guavashore.wire.expect
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.json.Json
import java.util.concurrent.ConcurrentHashMap

/** What the desk needs of the rest of the steward. */
internal class DeskView(
    val self: VmId,
    val zone: ZoneId,
    val leaderOf: (duty: String) -> VmId?,
    val find: (VmId) -> MemberRecord?,
    val backup: () -> VmId?,
    val entries: () -> List<VmId>,
    val isolated: () -> Boolean,
    val handleShare: suspend (ControlMessage.ShareRequest) -> ControlMessage.ShareReply,
)

/** Desk of one steward. */
internal class EntryDesk(
    private val view: DeskView,
    private val facts: FactTable,
    private val merge: UsageMerge,
    private val peers: Peers,
    private val clock: MonotonicClock,
) {
    private val changed = ConcurrentHashMap<VmId, ChangedCounters>()
    private val json = Json { ignoreUnknownKeys = true }
    private var zones: Map<ResourceId, ZoneId> = emptyMap()
    private var zonesFrom: Set<FactVersion> = emptySet()
    private var suspectsSequence = 0L
    private var publishedSuspects = ""

    suspend fun answer(report: ControlMessage.EntryReport): ControlMessage.EntryUpdate {
        merge.merge(report.usage)
        publishSuspects(report)
        val shares = collectShares(report)
        val known = report.knownFacts.associateBy { it.key }
        val news = facts.withPrefix("").filter { forEntries(it) && it.version.isNewerThan(known[it.version.key]) }
        return ControlMessage.EntryUpdate(news, shares, view.entries(), view.isolated())
    }

    private fun forEntries(fact: Fact) = entryPrefixes.any { fact.version.key.startsWith(it) }

    private suspend fun collectShares(report: ControlMessage.EntryReport): Map<ResourceId, Long> {
        val zones = zonesOfSlots()
        val byDuty =
            report.demands.entries.groupBy(
                { (resource, _) ->
                    zones[resource]?.value ?: FactKeys.COORDINATOR
                },
                { it.key to it.value },
            )
        // The own zone's holder hears from every entry, so that it knows who still runs what and was used.
        val duties = byDuty.keys + view.zone.value
        return coroutineScope {
            duties
                .map { duty -> async { request(duty, byDuty[duty].orEmpty().toMap(), report) } }
                .plus(async { backUpUsage(report) })
                .awaitAll()
                .fold(emptyMap()) { all, shares -> all + shares }
        }
    }

    private suspend fun request(
        duty: String,
        demands: Map<ResourceId, Demand>,
        report: ControlMessage.EntryReport,
    ): Map<ResourceId, Long> {
        val leader = view.leaderOf(duty) ?: return emptyMap()
        val usage = if (duty == view.zone.value) changedFor(leader) else emptyList()
        val request =
            ControlMessage.ShareRequest(
                vm = report.vm,
                incarnation = report.incarnation,
                demands = demands,
                inFlight = report.inFlight,
                tableVersions = report.knownFacts.filter { it.key.startsWith(FactKeys.TARGETS) },
                usage = usage,
            )
        val reply = send(leader, request) ?: return emptyMap()
        changed[leader]?.confirm(usage)
        return reply.shares
    }

    /** A second copy of the zone's usage, for the case that its lease holder is lost. */
    private suspend fun backUpUsage(report: ControlMessage.EntryReport): Map<ResourceId, Long> {
        val backup = view.backup()?.takeIf { it != view.self } ?: return emptyMap()
        val usage = changedFor(backup)
        if (usage.isEmpty()) return emptyMap()
        val request =
            ControlMessage.ShareRequest(
                report.vm,
                report.incarnation,
                emptyMap(),
                emptyMap(),
                emptyList(),
                usage,
            )
        if (send(backup, request) != null) changed[backup]?.confirm(usage)
        return emptyMap()
    }

    private suspend fun send(
        to: VmId,
        request: ControlMessage.ShareRequest,
    ): ControlMessage.ShareReply? {
        if (to == view.self) return view.handleShare(request)
        val peer = view.find(to) ?: return null
        return peers
            .client(peer.control)
            .exchange(request)
            .expect<ControlMessage.ShareReply>()
            .get()
    }

    private fun changedFor(receiver: VmId): List<UsageCounter> =
        changed.computeIfAbsent(receiver) { ChangedCounters(clock) }.pick(merge.counters())

    /** Zones of all targets' slots; worked out anew only when a table has changed. */
    private fun zonesOfSlots(): Map<ResourceId, ZoneId> {
        val tables = facts.withPrefix(FactKeys.TARGETS)
        val versions = tables.map { it.version }.toSet()
        synchronized(this) {
            if (versions == zonesFrom) return zones
            zonesFrom = versions
            zones =
                tables
                    .map { json.decodeFromString<TargetTable>(it.content) }
                    .flatMap { table -> table.targets.map { SharedResources.slots(it.id) to table.zone } }
                    .toMap()
            return zones
        }
    }

    private fun publishSuspects(report: ControlMessage.EntryReport) {
        val content = json.encodeToString(report.suspects)
        synchronized(this) {
            if (content == publishedSuspects || (publishedSuspects.isEmpty() && report.suspects.isEmpty())) return
            publishedSuspects = content
            val version = FactVersion(FactKeys.suspects(report.vm), report.incarnation.value, ++suspectsSequence)
            facts.offer(Fact(version, content))
        }
    }

    private companion object {
        val entryPrefixes = listOf(FactKeys.CONFIGURATION, FactKeys.TARGETS, FactKeys.SUSPECTS)
    }
}
