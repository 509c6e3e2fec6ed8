/*
 * Suspects of this entry, shared by all calls.
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

/** Thread-safe [SuspectList] on a clock. */
class SuspectGuard(
    private val clock: MonotonicClock,
    private val list: SuspectList = SuspectList(),
) {
    fun suspicion(fingerprint: RequestFingerprint): Suspicion =
        synchronized(list) { list.suspicion(fingerprint, clock()) }

    fun recordCrash(
        target: TargetId,
        fingerprint: RequestFingerprint,
    ) = synchronized(list) { list.recordCrash(target, listOf(fingerprint), clock()) }

    fun recordCompletion(fingerprint: RequestFingerprint) = synchronized(list) { list.recordCompletion(fingerprint) }

    fun merge(records: List<SuspectRecord>) = synchronized(list) { list.merge(records, clock()) }

    fun records(): List<SuspectRecord> = synchronized(list) { list.records(clock()) }

    /** Final answer to a request that crashed its targets. */
    fun refusal() =
        Refusal(
            kind = RefusalKind.POISON,
            message = "this request crashed two targets and is not run again; change it",
            notRun = false,
        )
}
