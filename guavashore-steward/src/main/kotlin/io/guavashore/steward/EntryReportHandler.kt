/*
 * Handles the periodic reports of entries. The reply contains the facts that the entry does not have yet, and its
 * shares of slots and limits, which are requested from the current lease holders.
 */
package io.guavashore.steward

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.github.oshai.kotlinlogging.KotlinLogging
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
import io.guavashore.usage.MergedUsage
import io.guavashore.wire.ControlMessage
import io.guavashore.wire.FactKeys
import io.guavashore.wire.SharedResources
import io.guavashore.wire.expect
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import java.util.concurrent.ConcurrentHashMap

private val log = KotlinLogging.logger {}

/**
 * State and functions of the steward that [EntryReportHandler] uses. [leaderOf] takes a zone's name or that of the
 * coordinator's role and returns null if no holder is known. [usageBackup] returns the steward that keeps a second
 * copy of the zone's usage, null if there is none.
 */
internal class EntryReportContext(
    val self: VmId,
    val zone: ZoneId,
    val leaderOf: (role: String) -> VmId?,
    val findMember: (VmId) -> MemberRecord?,
    val usageBackup: () -> VmId?,
    val listedEntries: () -> List<VmId>,
    val isIsolated: () -> Boolean,
    val handleShareRequest: suspend (ControlMessage.ShareRequest) -> ControlMessage.ShareReply,
)

/** Handler of the reports that one steward receives. */
internal class EntryReportHandler(
    private val context: EntryReportContext,
    private val facts: FactTable,
    private val mergedUsage: MergedUsage,
    private val peerClients: PeerClients,
    private val clock: MonotonicClock,
) {
    /** Usage counters, by receiving steward, that the steward has not confirmed yet. */
    private val changedCounters = ConcurrentHashMap<VmId, ChangedCounters>()
    private val json = Json { ignoreUnknownKeys = true }
    private var zoneByResource: Map<ResourceId, ZoneId> = emptyMap()
    private var targetTableVersions: Set<FactVersion> = emptySet()
    private var suspectsSequence = 0L
    private var publishedSuspects = ""

    /** Merges the reported usage, publishes the reported suspects, and returns new facts and shares. */
    suspend fun handle(report: ControlMessage.EntryReport): ControlMessage.EntryUpdate {
        mergedUsage.merge(report.usage)
        publishSuspects(report)
        val shares = collectShares(report)
        val knownVersions = report.knownFacts.associateBy { it.key }
        val changes =
            facts.withPrefix("").filter { isForEntries(it) && it.version.isNewerThan(knownVersions[it.version.key]) }
        return ControlMessage.EntryUpdate(changes, shares, context.listedEntries(), context.isIsolated())
    }

    private fun isForEntries(fact: Fact) = entryPrefixes.any { fact.version.key.startsWith(it) }

    private suspend fun collectShares(report: ControlMessage.EntryReport): Map<ResourceId, Long> {
        val zoneByResource = zonesOfTargetSlots()
        val demandsByRole =
            report.demands.entries.groupBy(
                { (resource, _) ->
                    zoneByResource[resource]?.value ?: FactKeys.COORDINATOR
                },
                { it.key to it.value },
            )
        // The leader of this zone gets a request for every report, even without demands, because the request also
        // contains the entry's usage and its requests in flight, from which the leader knows when a target is drained.
        val roles = demandsByRole.keys + context.zone.value
        return coroutineScope {
            roles
                .map { role -> async { requestShares(role, demandsByRole[role].orEmpty().toMap(), report) } }
                .plus(async { sendBackupUsage(report) })
                .awaitAll()
                .fold(emptyMap()) { all, shares -> all + shares }
        }
    }

    private suspend fun requestShares(
        role: String,
        demands: Map<ResourceId, Demand>,
        report: ControlMessage.EntryReport,
    ): Map<ResourceId, Long> {
        val leader = context.leaderOf(role) ?: return emptyMap()
        val usage = if (role == context.zone.value) changedCountersFor(leader) else emptyList()
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
        changedCounters[leader]?.confirm(usage)
        return reply.shares
    }

    /** Sends changed usage counters to a second steward, so that they survive the loss of the zone's lease holder. */
    private suspend fun sendBackupUsage(report: ControlMessage.EntryReport): Map<ResourceId, Long> {
        val backup = context.usageBackup()?.takeIf { it != context.self } ?: return emptyMap()
        val usage = changedCountersFor(backup)
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
        if (send(backup, request) != null) changedCounters[backup]?.confirm(usage)
        return emptyMap()
    }

    private suspend fun send(
        to: VmId,
        request: ControlMessage.ShareRequest,
    ): ControlMessage.ShareReply? {
        if (to == context.self) return context.handleShareRequest(request)
        val peer = context.findMember(to) ?: return null
        val reply =
            withTimeoutOrNull(PEER_TIMEOUT_MS) {
                peerClients.client(peer.control).exchange(request).expect<ControlMessage.ShareReply>()
            }
        if (reply == null || reply.isErr) {
            val cause = reply?.getError()?.message ?: "no reply within $PEER_TIMEOUT_MS ms"
            log.info { "steward did not reply, its shares are missing from this update: vm=$to cause=$cause" }
        }
        return reply?.get()
    }

    private fun changedCountersFor(receiver: VmId): List<UsageCounter> =
        changedCounters.computeIfAbsent(receiver) { ChangedCounters(clock) }.pick(mergedUsage.counters())

    /** Zone of each target's slots; computed again only when a target table has changed. */
    private fun zonesOfTargetSlots(): Map<ResourceId, ZoneId> {
        val targetTables = facts.withPrefix(FactKeys.TARGETS)
        val versions = targetTables.map { it.version }.toSet()
        synchronized(this) {
            if (versions == targetTableVersions) return zoneByResource
            targetTableVersions = versions
            zoneByResource =
                targetTables
                    .map { json.decodeFromString<TargetTable>(it.content) }
                    .flatMap { table -> table.targets.map { SharedResources.slots(it.id) to table.zone } }
                    .toMap()
            return zoneByResource
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
        /**
         * Includes waiting for the exchanges of other reports with the same steward. Facts, such as withdrawn keys, are
         * sent with the shares, so a steward that is frozen must not delay them.
         */
        const val PEER_TIMEOUT_MS = 400L
        val entryPrefixes = listOf(FactKeys.CONFIGURATION, FactKeys.TARGETS, FactKeys.SUSPECTS)
    }
}
