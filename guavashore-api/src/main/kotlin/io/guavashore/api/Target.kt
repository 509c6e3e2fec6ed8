/*
 * Targets as the control path tracks them and publishes them to the data path.
 */
package io.guavashore.api

import kotlinx.serialization.Serializable

/** Lifecycle stage of a target as seen by the control path. */
@Serializable
enum class TargetStage { STARTING, SERVING, LEAVING, FAILED }

/** Target in an availability zone. [startedAtMs] is a time of the platform's wall clock. */
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
 * All targets of one availability zone, written only by the holder of the zone's lease. Tables are ordered by
 * ([fencingNumber], [sequence]); the higher pair is newer.
 */
@Serializable
data class TargetTable(
    val zone: ZoneId,
    val fencingNumber: FencingNumber,
    val sequence: Long,
    val targets: List<Target>,
)
