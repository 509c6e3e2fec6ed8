/*
 * Index of the peers that are alive. Decisions look them up at each heartbeat and several times a second, far more
 * often than a peer changes.
 */
package io.guavashore.edge.peers

import io.guavashore.api.MonotonicClock
import io.guavashore.api.VmId

/** Live ones of [links]. Not thread-safe. */
internal class LivePeers(
    private val links: () -> Collection<PeerLink>,
    private val clock: MonotonicClock,
) {
    private var byVm: Map<VmId, PeerLink> = emptyMap()
    private var heartbeats: List<Heartbeat> = emptyList()
    private var isOutdated = true
    private var validUntilMs = 0L

    /** Last heartbeats of the live peers. The list is the same object until one of them changes. */
    fun heartbeats(): List<Heartbeat> {
        if (isOutdated || clock() >= validUntilMs) refresh()
        return heartbeats
    }

    /** Link to [vm]; null unless [vm] is alive. */
    operator fun get(vm: VmId): PeerLink? {
        if (isOutdated || clock() >= validUntilMs) refresh()
        return byVm[vm]?.takeIf { it.isAlive() }
    }

    /** To be called when a link has opened, closed or come alive, or its heartbeat has changed. */
    fun onChange() {
        isOutdated = true
    }

    private fun refresh() {
        val alive = LinkedHashMap<VmId, PeerLink>()
        links().filter { it.isAlive() }.forEach { link ->
            link.heartbeat?.let { alive.putIfAbsent(it.vmRecord.vm, link) }
        }
        byVm = alive
        val current = alive.values.mapNotNull { it.heartbeat }
        if (!isSame(current)) heartbeats = current
        validUntilMs = alive.values.minOfOrNull { it.aliveUntilMs } ?: Long.MAX_VALUE
        isOutdated = false
    }

    private fun isSame(current: List<Heartbeat>) =
        current.size == heartbeats.size && current.indices.all { current[it] === heartbeats[it] }
}
