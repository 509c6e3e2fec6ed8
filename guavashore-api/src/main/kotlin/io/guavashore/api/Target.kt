/*
 * Targets as the control path knows them and as the data path is told of them.
 */
package io.guavashore.api

import kotlinx.serialization.Serializable

/** Stage of a target's life as seen by the control path. */
@Serializable
enum class TargetStage { STARTING, SERVING, LEAVING, FAILED }

/** One target of an availability zone. [startedAtMs] is on the platform's wall clock. */
@Serializable
data class Target(
    val id: TargetId,
    val team: TeamId,
    val pool: PoolId,
    val kind: TargetKind,
    val zone: ZoneId,
    val endpoint: Endpoint,
    val slots: Int,
    val stage: TargetStage,
    val cheap: Boolean = false,
    val startedAtMs: Long = 0,
)

/**
 * All targets of one availability zone, written by the zone's lease holder only. A table is newer than another
 * if its pair ([fencingNumber], [sequence]) is higher.
 */
@Serializable
data class TargetTable(
    val zone: ZoneId,
    val fencingNumber: FencingNumber,
    val sequence: Long,
    val targets: List<Target>,
)
