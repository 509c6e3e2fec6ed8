/*
 * Outcome counters of the demonstration.
 */
package io.guavashore.standin

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Outcomes that the callers and the trainer counted. Thread-safe. */
internal class DemoCounters {
    val callsOk = AtomicInteger()
    val refused = AtomicInteger()
    val interrupted = AtomicInteger()
    val wrong = AtomicInteger()
    val delivered = AtomicInteger()
    val duplicates = AtomicInteger()
    val unlabelled = AtomicInteger()
    val stale = AtomicInteger()
    val entryChanges = AtomicInteger()
    val confirmedOrders: MutableSet<String> = ConcurrentHashMap.newKeySet()
    val versions: MutableSet<Long> = ConcurrentHashMap.newKeySet()

    /** True if no sample and no response was wrong, and at least one call succeeded. */
    fun isClean() =
        duplicates.get() == 0 && unlabelled.get() == 0 && stale.get() == 0 && wrong.get() == 0 && callsOk.get() > 0

    /** Counters as key=value fields, for the last line of output. */
    fun summary() =
        "samples_delivered=$delivered duplicates=$duplicates unlabelled=$unlabelled stale=$stale " +
            "calls_ok=$callsOk wrong_answers=$wrong"
}
