/*
 * Suspect requests known to this entry node, shared by all calls.
 */
package io.guavashore.calls

import io.guavashore.api.MonotonicClock
import io.guavashore.api.Refusal
import io.guavashore.api.RefusalKind
import io.guavashore.api.TargetId
import io.guavashore.routing.RequestFingerprint
import io.guavashore.routing.SuspectList
import io.guavashore.routing.SuspectRecord
import io.guavashore.routing.Suspicion

/** Thread-safe [SuspectList] that reads the time from [clock]. */
class SuspectGuard(
    private val clock: MonotonicClock,
    private val list: SuspectList = SuspectList(),
) {
    fun suspicion(fingerprint: RequestFingerprint): Suspicion =
        synchronized(list) { list.suspicion(fingerprint, clock()) }

    fun crashes(fingerprint: RequestFingerprint): Int = synchronized(list) { list.crashes(fingerprint, clock()) }

    fun recordCrash(
        target: TargetId,
        fingerprint: RequestFingerprint,
    ) = synchronized(list) { list.recordCrash(target, listOf(fingerprint), clock()) }

    fun recordCompletion(fingerprint: RequestFingerprint) = synchronized(list) { list.recordCompletion(fingerprint) }

    fun merge(records: List<SuspectRecord>) = synchronized(list) { list.merge(records, clock()) }

    fun records(): List<SuspectRecord> = synchronized(list) { list.records(clock()) }

    /** Final refusal of a request that crashed its targets. */
    fun refusal() =
        Refusal(
            kind = RefusalKind.POISON,
            message = "this request crashed two targets and will not be run again; send a different request",
            notRun = false,
        )
}
