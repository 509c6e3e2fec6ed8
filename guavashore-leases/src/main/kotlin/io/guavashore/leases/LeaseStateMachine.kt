/*
 * State machine of one lease, without I/O.
 *
 * The holder counts the lease duration from before it sent the write that renewed the lease. A contender counts the
 * full duration plus a margin from after it first read the current version, on its own monotonic clock. The holder's
 * count starts before the write takes effect and the contender's after it, so the lease has always expired at its
 * holder before a contender may write. No synchronised clocks are needed.
 */
package io.guavashore.leases

import io.guavashore.api.FencingNumber
import io.guavashore.platform.ObjectVersion

/**
 * Timing of a lease, the same for all contenders.
 *
 * @property durationMs duration of a lease from its last renewal
 * @property marginMs safety margin: a holder stops this much earlier, a contender waits this much longer
 * @property renewIntervalMs interval between renewals
 */
data class LeaseTiming(
    val durationMs: Long = 10_000,
    val marginMs: Long = 2_000,
    val renewIntervalMs: Long = 3_000,
)

/** Next action of the process for its lease. */
sealed interface LeaseAction {
    data object Wait : LeaseAction

    /** Read the object and pass it to [LeaseStateMachine.onRead]. */
    data object Read : LeaseAction

    /**
     * Write [record] if the object still has version [expected], and pass the outcome to [LeaseStateMachine.onWritten],
     * [LeaseStateMachine.onConflict] or [LeaseStateMachine.onUnavailable].
     */
    data class Write(
        val record: LeaseRecord,
        val expected: ObjectVersion,
    ) : LeaseAction
}

/**
 * A lease held by this process.
 *
 * @property untilMs time on the monotonic clock from which nothing may be sent under the lease
 */
data class HeldLease(
    val fencingNumber: FencingNumber,
    val untilMs: Long,
    val record: LeaseRecord,
)

/** Returns true if the holder's process is known to have ended, for example because its VM runs a later one. */
typealias HasEnded = (LeaseHolder) -> Boolean

/** State machine of one contender for a lease. Not thread-safe. */
class LeaseStateMachine(
    private val self: LeaseHolder,
    private val timing: LeaseTiming = LeaseTiming(),
    private val hasEnded: HasEnded = { false },
) {
    private data class Seen(
        val version: ObjectVersion,
        val record: LeaseRecord?,
        val firstSeenAtMs: Long,
    )

    private data class Pending(
        val record: LeaseRecord,
        val sentAtMs: Long,
    )

    /** Latest version known, by a read or an own write. */
    private var seen: Seen? = null
    private var pending: Pending? = null
    private var held: HeldLease? = null
    private var lastReadAtMs = Long.MIN_VALUE / 2
    private var renewals = 0L
    private var desiredIntent: OrderIntent? = null
    private var mustRead = true

    /** Record of the latest version known, by a read or an own write; null if there is none. */
    val lastSeen: LeaseRecord? get() = seen?.record

    /** The lease if this process holds it at [nowMs], else null. */
    fun heldAt(nowMs: Long): HeldLease? = held?.takeIf { nowMs < it.untilMs }

    /** The record that this process last wrote and its version, if it holds the lease at [nowMs]; else null. */
    fun heldRecordAt(nowMs: Long): Pair<LeaseRecord, ObjectVersion>? {
        val holding = heldAt(nowMs) ?: return null
        val version = seen?.takeIf { it.record == holding.record }?.version ?: return null
        return holding.record to version
    }

    /**
     * Invalidates the held lease until the store has been read and written again. For use after a possible suspension
     * of the process, during which its monotonic clock may have stopped as well. A pending write is dropped as well:
     * the lease duration that it starts is counted from its sending, on the same clock.
     */
    fun invalidate() {
        held = null
        pending = null
        mustRead = true
    }

    /** Gives up the lease. The returned write lets a successor take over without waiting for its expiry. */
    fun release(nowMs: Long): LeaseAction {
        val holding = heldAt(nowMs) ?: return LeaseAction.Wait
        val current = seen ?: return LeaseAction.Wait
        held = null
        return LeaseAction.Write(holding.record.copy(renewal = ++renewals, released = true), current.version)
    }

    /** Sets the intent to be written with the next renewal, which becomes due immediately. */
    fun setIntent(intent: OrderIntent?) {
        desiredIntent = intent
    }

    /** True if this process holds the lease and its record in the store has exactly the intent last set. */
    fun intentIsRecorded(nowMs: Long): Boolean = heldAt(nowMs)?.record?.intent == desiredIntent

    /** Decides the next action; to be called again after the outcome of each action has been passed on. */
    fun next(nowMs: Long): LeaseAction {
        if (pending != null || mustRead) return readIfDue(nowMs)
        val current = seen ?: return readIfDue(nowMs)
        val holding = heldAt(nowMs)
        if (holding != null) return renewIfDue(holding, current, nowMs)
        if (!mayTakeOver(current, nowMs)) return readIfDue(nowMs)
        return write(takeoverRecord(current.record), current.version, nowMs)
    }

    /** Processes a read; [record] is null if there is no object. The content of a stale read is ignored. */
    fun onRead(
        version: ObjectVersion,
        record: LeaseRecord?,
        nowMs: Long,
    ) {
        lastReadAtMs = nowMs
        mustRead = false
        val known = seen
        if (known != null && version.value < known.version.value) return
        if (known == null || known.version != version) seen = Seen(version, record, firstSeenAtMs = nowMs)
        resolvePending(record)
        if (record?.holder != self) held = null
    }

    /** Processes a successful write; [version] is the object's new version. */
    fun onWritten(version: ObjectVersion) {
        val done = pending ?: return
        seen = Seen(version, done.record, firstSeenAtMs = done.sentAtMs)
        resolvePending(done.record)
    }

    /** Processes a write that was refused because the object has a different version. */
    fun onConflict() {
        pending = null
        mustRead = true
    }

    /** Processes a call without a response. A write stays pending until a read shows whether it took effect. */
    fun onUnavailable(nowMs: Long) {
        lastReadAtMs = nowMs
        mustRead = true
    }

    /**
     * Resolves the pending write by a read that is not stale. If the write takes effect after this read, it either
     * meets a different version and is refused, or a later read returns it as this process's own record.
     */
    private fun resolvePending(record: LeaseRecord?) {
        val sent = pending ?: return
        if (record == sent.record) {
            held = HeldLease(record.fencingNumber, sent.sentAtMs + timing.durationMs - timing.marginMs, record)
        }
        pending = null
    }

    private fun readIfDue(nowMs: Long): LeaseAction =
        if (nowMs - lastReadAtMs >= timing.renewIntervalMs / READS_PER_RENEWAL) LeaseAction.Read else LeaseAction.Wait

    private fun renewIfDue(
        holding: HeldLease,
        current: Seen,
        nowMs: Long,
    ): LeaseAction {
        val renewAtMs = holding.untilMs - timing.durationMs + timing.marginMs + timing.renewIntervalMs
        val intentChanged = holding.record.intent != desiredIntent
        if (nowMs < renewAtMs && !intentChanged) return LeaseAction.Wait
        return write(holding.record.copy(renewal = ++renewals, intent = desiredIntent), current.version, nowMs)
    }

    private fun mayTakeOver(
        current: Seen,
        nowMs: Long,
    ): Boolean {
        val record = current.record ?: return true
        if (record.released || record.holder == self || hasEnded(record.holder)) return true
        return nowMs >= current.firstSeenAtMs + timing.durationMs + timing.marginMs
    }

    /**
     * Record that takes over the lease. A successor keeps its predecessor's intent until it has resolved it; a process
     * that held the lease before and did not release it keeps its fencing number.
     */
    private fun takeoverRecord(previous: LeaseRecord?): LeaseRecord {
        desiredIntent = previous?.intent
        val renewsOwnLease = previous != null && previous.holder == self && !previous.released
        val number = previous?.fencingNumber?.value ?: 0
        return LeaseRecord(
            holder = self,
            fencingNumber = FencingNumber(if (renewsOwnLease) number else number + 1),
            renewal = ++renewals,
            intent = previous?.intent,
        )
    }

    private fun write(
        record: LeaseRecord,
        expected: ObjectVersion,
        nowMs: Long,
    ): LeaseAction {
        pending = Pending(record, sentAtMs = nowMs)
        return LeaseAction.Write(record, expected)
    }

    private companion object {
        const val READS_PER_RENEWAL = 2
    }
}
