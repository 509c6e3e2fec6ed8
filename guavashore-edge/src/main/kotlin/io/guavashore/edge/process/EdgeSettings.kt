/*
 * Settings of one edge process.
 */
package io.guavashore.edge.process

import io.guavashore.api.Endpoint
import io.guavashore.api.Incarnation
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId

/**
 * Settings of the edge process on one VM.
 *
 * @property callers address that accepts callers' requests
 * @property readiness address of the health check with which the load balancer decides whether to send callers here
 * @property peers address that accepts connections from other VMs
 * @property relay address that accepts requests that other VMs relay; null if there is none
 * @property metrics address that serves the metrics, or null if they are not served
 * @property knownPeers addresses of some other VMs, to which this VM connects first; may be outdated
 * @property capacity processor time that this VM has, in cores; the coordinator is preferably a VM with a large one
 * @property stopGraceMs time between the stop signal and the kill signal
 * @property usageWindowMs length of a usage window
 * @property evacuationBoundMs time within which no more requests are sent to targets of a zone that an operator
 *   evacuates; null if zones can't be evacuated here
 */
data class EdgeSettings(
    val vm: VmId,
    val incarnation: Incarnation,
    val zone: ZoneId,
    val callers: Endpoint,
    val readiness: Endpoint,
    val peers: Endpoint,
    val relay: Endpoint? = null,
    val metrics: Endpoint? = null,
    val knownPeers: List<Endpoint> = emptyList(),
    val capacity: Double = 1.0,
    val stopGraceMs: Long = 8_000,
    val usageWindowMs: Long = 5_000,
    val evacuationBoundMs: Long? = null,
)
