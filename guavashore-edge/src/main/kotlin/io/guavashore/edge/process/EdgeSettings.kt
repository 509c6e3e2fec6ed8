/*
 * Settings of one edge process.
 */
package io.guavashore.edge.process

import io.guavashore.api.Endpoint
import io.guavashore.api.Incarnation
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId

/**
 * Settings of a VM's process.
 *
 * @property callers address at which callers arrive
 * @property readiness address at which the balancer asks whether this VM takes callers
 * @property peers address at which other VMs reach this one
 * @property metrics address of the metrics, or null
 * @property knownPeers addresses of some other VMs, which may be out of date
 * @property capacity processor share, by which VMs are ranked for heavy duties
 * @property stopGraceMs time between the request to stop and the kill
 * @property usageWindowMs length of usage windows
 */
data class EdgeSettings(
    val vm: VmId,
    val incarnation: Incarnation,
    val zone: ZoneId,
    val callers: Endpoint,
    val readiness: Endpoint,
    val peers: Endpoint,
    val metrics: Endpoint? = null,
    val knownPeers: List<Endpoint> = emptyList(),
    val capacity: Double = 1.0,
    val stopGraceMs: Long = 8_000,
    val usageWindowMs: Long = 5_000,
)
