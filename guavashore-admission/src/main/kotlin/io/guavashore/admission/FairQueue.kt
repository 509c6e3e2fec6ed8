/*
 * Queue of requests that wait for a slot. Public calls go before samples; within a class, organisations take turns by
 * deficit round robin, so that a flood of one delays the others by at most one turn.
 */
package io.guavashore.admission

import io.guavashore.api.OrganisationId

/** Classes of work, the most urgent first. */
enum class WorkClass { PUBLIC, SAMPLES }

/** A waiting request. [cost] is in tokens, at least 1. */
class QueueItem<T>(
    val value: T,
    val organisation: OrganisationId,
    val workClass: WorkClass,
    val cost: Long,
    val deadlineMs: Long,
)

/**
 * Fair queue. Not thread-safe.
 *
 * @param quantum cost that an organisation of weight 1 may spend per turn
 * @param weightOf weight of an organisation, at least 1
 */
class FairQueue<T>(
    private val quantum: Long = 256,
    private val weightOf: (OrganisationId) -> Int = { 1 },
) {
    private class Flow<T> {
        val items = ArrayDeque<QueueItem<T>>()
        var deficit = 0L
    }

    private val classes = WorkClass.entries.associateWith { LinkedHashMap<OrganisationId, Flow<T>>() }

    var size = 0
        private set

    fun offer(item: QueueItem<T>) {
        val flow = classes.getValue(item.workClass).getOrPut(item.organisation) { Flow() }
        val at =
            if (item.workClass ==
                WorkClass.SAMPLES
            ) {
                flow.items.indexOfFirst { it.deadlineMs > item.deadlineMs }
            } else {
                -1
            }
        if (at < 0) flow.items.addLast(item) else flow.items.add(at, item)
        size++
    }

    /** Takes out the next item, or null if none waits in a class for which [open] holds. */
    fun poll(open: (WorkClass) -> Boolean = { true }): QueueItem<T>? {
        val flows = classes.entries.firstOrNull { (workClass, flows) -> open(workClass) && flows.isNotEmpty() }?.value
        return flows?.let(::takeTurn)
    }

    /** Takes out [value]; false if it does not wait here. */
    fun remove(value: T): Boolean = removeWhere { it.value == value }.isNotEmpty()

    /** Takes out and returns the items whose deadline is at or before [nowMs]. */
    fun expire(nowMs: Long): List<QueueItem<T>> = removeWhere { it.deadlineMs <= nowMs }

    /** Cost that is ahead of a new item of [workClass], taking fair turns into account for [organisation]. */
    fun costAhead(
        organisation: OrganisationId,
        workClass: WorkClass,
    ): Long {
        val urgent = classes.filterKeys { it < workClass }.values.sumOf { flows -> flows.values.sumOf { it.cost() } }
        val same = classes.getValue(workClass)
        val own = same[organisation]?.cost() ?: 0
        val others = same.filterKeys { it != organisation }.values.sumOf { minOf(it.cost(), own + quantum) }
        return urgent + own + others
    }

    private fun takeTurn(flows: LinkedHashMap<OrganisationId, Flow<T>>): QueueItem<T> {
        while (true) {
            val (organisation, flow) = flows.entries.first()
            val head = flow.items.first()
            if (flow.deficit >= head.cost) return take(flows, organisation, flow)
            flow.deficit += quantum * weightOf(organisation)
            if (flow.deficit >= head.cost) return take(flows, organisation, flow)
            flows.remove(organisation)
            flows[organisation] = flow
        }
    }

    private fun take(
        flows: LinkedHashMap<OrganisationId, Flow<T>>,
        organisation: OrganisationId,
        flow: Flow<T>,
    ): QueueItem<T> {
        val item = flow.items.removeFirst()
        flow.deficit -= item.cost
        size--
        flows.remove(organisation)
        val turnGoesOn = flow.items.firstOrNull()?.let { it.cost <= flow.deficit } ?: false
        when {
            flow.items.isEmpty() -> Unit
            turnGoesOn -> flows.putFirst(organisation, flow)
            else -> flows[organisation] = flow
        }
        return item
    }

    private fun LinkedHashMap<OrganisationId, Flow<T>>.putFirst(
        organisation: OrganisationId,
        flow: Flow<T>,
    ) {
        val rest = entries.map { it.key to it.value }
        clear()
        this[organisation] = flow
        putAll(rest)
    }

    private fun removeWhere(condition: (QueueItem<T>) -> Boolean): List<QueueItem<T>> {
        val removed = mutableListOf<QueueItem<T>>()
        classes.values.forEach { flows ->
            flows.values.forEach { flow ->
                removed += flow.items.filter(condition)
                flow.items.removeAll(condition)
            }
            flows.values.removeIf { it.items.isEmpty() }
        }
        size -= removed.size
        return removed
    }

    private fun Flow<T>.cost() = items.sumOf { it.cost }
}
