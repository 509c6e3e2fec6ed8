/*
 * Counts of the demonstration.
 */
package io.guavashore.standin

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** What the callers and the trainer saw. */
internal class DemoTally {
    val callsOk = AtomicInteger()
    val refused = AtomicInteger()
    val broken = AtomicInteger()
    val wrong = AtomicInteger()
    val delivered = AtomicInteger()
    val duplicates = AtomicInteger()
    val unlabelled = AtomicInteger()
    val stale = AtomicInteger()
    val moves = AtomicInteger()
    val confirmedOrders: MutableSet<String> = ConcurrentHashMap.newKeySet()
    val versions: MutableSet<Long> = ConcurrentHashMap.newKeySet()

    fun isClean() =
        duplicates.get() == 0 && unlabelled.get() == 0 && stale.get() == 0 && wrong.get() == 0 && callsOk.get() > 0

    /** The last line of the demonstration. */
    fun line() =
        "samples_delivered=$delivered duplicates=$duplicates unlabelled=$unlabelled stale=$stale " +
            "calls_ok=$callsOk wrong_answers=$wrong"
}
