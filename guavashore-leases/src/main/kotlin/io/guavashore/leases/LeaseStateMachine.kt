/*
 * Lease of one duty, as a state machine without I/O.
 *
 * The holder counts its term from before it sent the write that renewed it. A challenger counts a whole term and a
 * margin from after it first read the present version, on its own monotonic clock. Both start from opposite
 * sides of the write's effect, so the holder's term has always ended before a challenger may write: no clock is
 * shared.
 */
package io.guavashore.leases

import io.guavashore.api.FencingNumber
import io.guavashore.platform.ObjectVersion

/** Term and margins of a lease. */
data class LeaseTiming(
    val durationMs: Long = 10_000,
    val marginMs: Long = 2_000,
    val renewIntervalMs: Long = 3_000,
)

/** What the process should do next about its lease. */
sealed interface LeaseAction {
    data object Wait : LeaseAction

    /** Read the object and pass it to [LeaseStateMachine.onRead]. */
    data object Read : LeaseAction

    /** Write [record] if the object still has version [expected]; pass the outcome on. */
    data class Write(
        val record: LeaseRecord,
        val expected: ObjectVersion,
    ) : LeaseAction
}

/** Lease held now. Nothing may be sent under it at or after [untilMs]. */
data class HeldLease(
    val fencingNumber: FencingNumber,
    val untilMs: Long,
    val record: LeaseRecord,
)

/** True if the process that held a lease is known to have ended, such as when its VM runs a later one. */
typealias HasEnded = (LeaseHolder) -> Boolean

/** State machine of one contender. Not thread-safe. */
class LeaseStateMachine(
    private val self: LeaseHolder,
    private val terms: LeaseTiming = LeaseTiming(),
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

    private var seen: Seen? = null
    private var pending: Pending? = null
    private var held: HeldLease? = null
    private var lastReadAtMs = Long.MIN_VALUE / 2
    private var renewals = 0L
    private var wantedIntent: OrderIntent? = null
    private var mustRead = true

    /** The lease if it is held at [nowMs], else null. */
    fun heldAt(nowMs: Long): HeldLease? = held?.takeIf { nowMs < it.untilMs }

    /** The lease as this process, its holder, last wrote it, with the version of that write; else null. */
    fun heldRecordAt(nowMs: Long): Pair<LeaseRecord, ObjectVersion>? {
        val holding = heldAt(nowMs) ?: return null
        val version = seen?.takeIf { it.record == holding.record }?.version ?: return null
        return holding.record to version
    }

    /**
     * Gives up the right to act until the store has been read and written again: the process may have stood still
     * while its monotonic clock did too. A write without an answer proves nothing either: the term that it began is
     * counted from its sending, by the same clock.
     */
    fun invalidate() {
        held = null
        pending = null
        mustRead = true
    }

    /** Gives the lease up for good; the write tells successors that they need not wait. */
    fun release(nowMs: Long): LeaseAction {
        val holding = heldAt(nowMs) ?: return LeaseAction.Wait
        val current = seen ?: return LeaseAction.Wait
        held = null
        return LeaseAction.Write(holding.record.copy(renewal = ++renewals, released = true), current.version)
    }

    /** Sets the intent to be written with the next renewal, which is due at once. */
    fun setIntent(intent: OrderIntent?) {
        wantedIntent = intent
    }

    /** True if the store holds exactly the wanted intent under the live lease. */
    fun intentIsRecorded(nowMs: Long): Boolean = heldAt(nowMs)?.record?.intent == wantedIntent

    /** Decides the next step; [step] it again after each outcome. */
    fun next(nowMs: Long): LeaseAction {
        if (pending != null || mustRead) return readUnlessJustRead(nowMs)
        val current = seen ?: return readUnlessJustRead(nowMs)
        val holding = heldAt(nowMs)
        if (holding != null) return renewIfDue(holding, current, nowMs)
        if (!mayChallenge(current, nowMs)) return readUnlessJustRead(nowMs)
        return write(challenge(current.record), current.version, nowMs)
    }

    /** Takes in what a read returned; [record] is null if there is no object. */
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
        settlePending(record)
        if (record?.holder != self) held = null
    }

    /** Takes in that the write took effect. */
    fun onWritten(version: ObjectVersion) {
        val done = pending ?: return
        seen = Seen(version, done.record, firstSeenAtMs = done.sentAtMs)
        settlePending(done.record)
    }

    /** Takes in that the write was refused because the object has another version. */
    fun onConflict() {
        pending = null
        mustRead = true
    }

    /** Takes in that a call had no answer; a write stays open until a read settles it. */
    fun onUnavailable(nowMs: Long) {
        lastReadAtMs = nowMs
        mustRead = true
    }

    /**
     * A read that is not out of date settles the open write. If the write still takes effect later, it either meets
     * another version and is refused, or shows up in a later read as this holder's own record.
     */
    private fun settlePending(record: LeaseRecord?) {
        val open = pending ?: return
        if (record == open.record) {
            held = HeldLease(record.fencingNumber, open.sentAtMs + terms.durationMs - terms.marginMs, record)
        }
        pending = null
    }

    private fun readUnlessJustRead(nowMs: Long): LeaseAction =
        if (nowMs - lastReadAtMs >= terms.renewIntervalMs / READS_PER_RENEWAL) LeaseAction.Read else LeaseAction.Wait

    private fun renewIfDue(
        holding: HeldLease,
        current: Seen,
        nowMs: Long,
    ): LeaseAction {
        val renewAtMs = holding.untilMs - terms.durationMs + terms.marginMs + terms.renewIntervalMs
        val intentChanged = holding.record.intent != wantedIntent
        if (nowMs < renewAtMs && !intentChanged) return LeaseAction.Wait
        return write(holding.record.copy(renewal = ++renewals, intent = wantedIntent), current.version, nowMs)
    }

    private fun mayChallenge(
        current: Seen,
        nowMs: Long,
    ): Boolean {
        val record = current.record ?: return true
        if (record.released || record.holder == self || hasEnded(record.holder)) return true
        return nowMs >= current.firstSeenAtMs + terms.durationMs + terms.marginMs
    }

    /** A successor keeps the predecessor's intent until it has settled it; a holder that goes on keeps its number. */
    private fun challenge(previous: LeaseRecord?): LeaseRecord {
        wantedIntent = previous?.intent
        val goesOn = previous != null && previous.holder == self && !previous.released
        val number = previous?.fencingNumber?.value ?: 0
        return LeaseRecord(
            holder = self,
            fencingNumber = FencingNumber(if (goesOn) number else number + 1),
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
