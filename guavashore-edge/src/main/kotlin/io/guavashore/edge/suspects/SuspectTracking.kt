/*
 * Suspect requests on one VM: finds them, tells the other VMs and the store, and guards their runs.
 */
package io.guavashore.edge.suspects

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.VmId
import io.guavashore.api.WallClock
import io.guavashore.api.rendezvousRank
import io.guavashore.edge.peers.CallPeer
import io.guavashore.edge.peers.Heartbeat
import io.guavashore.edge.peers.NewPeers
import io.guavashore.edge.peers.PeerCall
import io.guavashore.edge.peers.PeerReply
import io.guavashore.platform.CallStore
import io.guavashore.platform.EntryChange
import io.guavashore.platform.StoredEntry
import io.guavashore.routing.RequestFingerprint
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

private val log = KotlinLogging.logger {}

/** The other VMs, as seen from [self]. */
class SuspectPeers(
    val self: VmId,
    val alive: () -> List<Heartbeat>,
    val call: CallPeer,
    /** Sends heartbeats to all peers at once. */
    val sendHeartbeats: () -> Unit,
    val isStopping: () -> Boolean,
)

/** Suspect requests of one VM. Not thread-safe. */
class SuspectTracking(
    private val scope: CoroutineScope,
    private val peers: SuspectPeers,
    evidence: TargetEvidence,
    isKnown: () -> Boolean,
    store: CallStore,
    private val clock: MonotonicClock,
    private val medianTimeMs: WallClock,
) {
    private val suspects = SuspectRequests(medianTimeMs)
    private val archive = SuspectArchive(scope, suspects, store, medianTimeMs)
    private val desk = TrialDesk(clock) { vm -> vm == peers.self || peers.alive().any { it.vmRecord.vm == vm } }
    private val newPeers = NewPeers(clock)
    private var isAnnouncing = false

    val guard = SuspectGuard(scope, isKnown, suspects, ::beginTrial, ::endTrial, clock)
    val runs = RunMonitor(scope, evidence, clock, ::onTargetEnded)

    /** Records that a run of the request came to its end. */
    fun onCompleted(fingerprint: RequestFingerprint) {
        if (!suspects.recordCompletion(fingerprint)) return
        log.info { "suspect request came to its end: fingerprint=${fingerprint.value}" }
        onOwnChange(fingerprint)
    }

    fun onHeartbeat(heartbeat: Heartbeat) {
        newPeers.onHeartbeat(heartbeat.vmRecord)
        heartbeat.suspects.forEach { merge(it, from = heartbeat.vmRecord.vm.value) }
    }

    /** Records to be sent to [receiver] with a heartbeat: all if it has just started, else those that matter now. */
    fun forHeartbeat(receiver: VmId?): List<SuspectRecord> {
        val all = suspects.all()
        if (all.isEmpty()) return all
        val changedAfterMs = medianTimeMs() - REPEAT_MS
        val isNew = receiver != null && newPeers.isNew(receiver)
        return all.filter { isNew || it.failedTrials > 0 || it.changedAtMs > changedAfterMs }.take(MAX_RECORDS_SENT)
    }

    fun onStoreChanges(changes: List<EntryChange>) =
        changes.filterNot { it.deleted }.forEach { change ->
            archive.read(change.entry)?.let { merge(it, from = "store") }
        }

    /** Deletes expired records from the store while [isCleaner], until cancelled. */
    suspend fun cleanStore(
        isCleaner: () -> Boolean,
        entries: () -> List<StoredEntry>,
    ) {
        while (true) {
            delay(CLEANING_INTERVAL_MS)
            if (isCleaner()) archive.clean(entries())
        }
    }

    fun onBeginTrial(call: PeerCall.BeginTrial): PeerReply {
        merge(call.record, from = call.holder.value)
        val fingerprint = call.record.fingerprint
        val isGranted =
            suspects.verdict(fingerprint) is Verdict.OnTrial && desk.begin(fingerprint, call.holder, call.maxMs)
        return PeerReply.Trial(isGranted, suspects[fingerprint])
    }

    fun onEndTrial(call: PeerCall.EndTrial): PeerReply {
        merge(call.record, from = call.holder.value)
        desk.end(call.record.fingerprint, call.holder)
        return PeerReply.Done
    }

    private fun onTargetEnded(run: Run) {
        val target = "${run.target.id}@${run.target.bornAtMs}"
        if (suspects.recordEnd(run.fingerprint, target, run.trial)) onOwnChange(run.fingerprint)
    }

    private fun onOwnChange(fingerprint: RequestFingerprint) {
        logVerdict(fingerprint, from = "own run")
        archive.onChanged(fingerprint)
        announce()
    }

    private fun merge(
        record: SuspectRecord,
        from: String,
    ) {
        if (suspects.merge(record)) logVerdict(record.fingerprint, from)
    }

    private fun logVerdict(
        fingerprint: RequestFingerprint,
        from: String,
    ) = log.info {
        val record = suspects[fingerprint]
        "suspect request: fingerprint=${fingerprint.value} verdict=${suspects.verdict(fingerprint)} " +
            "ended=${record.endedTargets} failed_trials=${record.failedTrials} completions=${record.completions} " +
            "age_ms=${medianTimeMs() - record.changedAtMs} from=$from"
    }

    /** Sends heartbeats soon; changes that come together share them. */
    private fun announce() {
        if (isAnnouncing) return
        isAnnouncing = true
        scope.launch {
            delay(ANNOUNCE_DELAY_MS)
            isAnnouncing = false
            peers.sendHeartbeats()
        }
    }

    private suspend fun beginTrial(
        fingerprint: RequestFingerprint,
        maxMs: Long,
    ): Boolean {
        val call = PeerCall.BeginTrial(suspects[fingerprint], peers.self, maxMs)
        val granter = granter(fingerprint)
        if (granter == peers.self) return (onBeginTrial(call) as PeerReply.Trial).isGranted
        val reply = peers.call(granter, call, TRIAL_CALL_TIMEOUT_MS) as? PeerReply.Trial
        log.info { "trial asked for: fingerprint=${fingerprint.value} of=$granter granted=${reply?.isGranted}" }
        reply?.record?.let { merge(it, from = granter.value) }
        if (reply != null) return reply.isGranted
        return desk.begin(fingerprint, peers.self, maxMs)
    }

    private suspend fun endTrial(fingerprint: RequestFingerprint) {
        val call = PeerCall.EndTrial(suspects[fingerprint], peers.self)
        onEndTrial(call)
        val granter = granter(fingerprint)
        if (granter != peers.self) peers.call(granter, call, TRIAL_CALL_TIMEOUT_MS)
    }

    /** VM that grants the trials of the request; VMs of earlier versions and those that are stopping grant none. */
    private fun granter(fingerprint: RequestFingerprint): VmId {
        val others = peers.alive().filter { it.tracksSuspects && !it.stopping }.map { it.vmRecord.vm }
        val all = if (peers.isStopping() && others.isNotEmpty()) others else others + peers.self
        return rendezvousRank(fingerprint.value, all).first()
    }

    private companion object {
        /** A change is repeated for some heartbeats, since single ones may be lost. */
        const val REPEAT_MS = 4_000L

        /** About 15 kB. */
        const val MAX_RECORDS_SENT = 60
        const val ANNOUNCE_DELAY_MS = 5L
        const val TRIAL_CALL_TIMEOUT_MS = 200L
        const val CLEANING_INTERVAL_MS = 60_000L
    }
}
