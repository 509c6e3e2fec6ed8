/*
 * Queue of requests that wait for a slot. Public calls take precedence over samples. Within a class, organisations
 * are served by deficit round robin, so that a burst from one organisation delays the others by at most one turn.
 */
package io.guavashore.admission

import io.guavashore.api.OrganisationId

/** Priority classes, highest priority first. */
enum class WorkClass { PUBLIC, SAMPLES }

/**
 * A waiting request.
 *
 * @property cost in tokens, at least 1
 * @property deadlineMs on the monotonic clock
 */
class QueueItem<T>(
    val value: T,
    val organisation: OrganisationId,
    val workClass: WorkClass,
    val cost: Long,
    val deadlineMs: Long,
)

/**
 * Priority queue with deficit round robin among organisations. Not thread-safe.
 *
 * @param quantum cost in tokens that an organisation of weight 1 may spend per turn
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

    /** Adds [item]; samples of an organisation are ordered by deadline, public calls by arrival. */
    fun offer(item: QueueItem<T>) {
        val flow = classes.getValue(item.workClass).getOrPut(item.organisation) { Flow() }
        val index =
            if (item.workClass ==
                WorkClass.SAMPLES
            ) {
                flow.items.indexOfFirst { it.deadlineMs > item.deadlineMs }
            } else {
                -1
            }
        if (index < 0) flow.items.addLast(item) else flow.items.add(index, item)
        size++
    }

    /** Removes and returns the next item, or returns null if none waits in a class that [isEligible] accepts. */
    fun poll(isEligible: (WorkClass) -> Boolean = { true }): QueueItem<T>? {
        val flows =
            classes.entries
                .firstOrNull { (workClass, flows) -> isEligible(workClass) && flows.isNotEmpty() }
                ?.value
        return flows?.let(::takeTurn)
    }

    /** Removes [value]; returns false if the queue does not contain it. */
    fun remove(value: T): Boolean = removeWhere { it.value == value }.isNotEmpty()

    /** Removes and returns the items whose deadline is at or before [nowMs]. */
    fun expire(nowMs: Long): List<QueueItem<T>> = removeWhere { it.deadlineMs <= nowMs }

    /**
     * Estimated cost in tokens to be served before a new item of [organisation] in [workClass]. Of another
     * organisation's items in the class, it counts at most as much as [organisation]'s own plus one quantum.
     */
    fun costAhead(
        organisation: OrganisationId,
        workClass: WorkClass,
    ): Long {
        val higherPriority =
            classes
                .filterKeys { it < workClass }
                .values
                .sumOf { flows -> flows.values.sumOf { it.cost() } }
        val sameClass = classes.getValue(workClass)
        val own = sameClass[organisation]?.cost() ?: 0
        val others = sameClass.filterKeys { it != organisation }.values.sumOf { minOf(it.cost(), own + quantum) }
        return higherPriority + own + others
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
        val turnContinues = flow.items.firstOrNull()?.let { it.cost <= flow.deficit } ?: false
        when {
            flow.items.isEmpty() -> Unit
            turnContinues -> flows.putFirst(organisation, flow)
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
