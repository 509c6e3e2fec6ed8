/*
 * Declared configuration of one team, which operators keep in version control and the store holds.
 * A declaration is immutable: each change creates a new revision of the team's complete declaration.
 */
package io.guavashore.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Complete declaration of a team. The settings schema documents the fields and their bounds. */
@Serializable
data class Declaration(
    val team: TeamId,
    val policy: ScalePolicy = ScalePolicy.COST_FIRST,
    val usageWindowMs: Long = 60_000,
    val organisations: List<OrganisationDeclaration> = emptyList(),
    val keys: List<KeyDeclaration> = emptyList(),
    val services: List<ServiceDeclaration> = emptyList(),
    val pools: List<PoolDeclaration> = emptyList(),
    val trainers: List<TrainerDeclaration> = emptyList(),
    val drainedTargets: Set<TargetId> = emptySet(),
) {
    fun organisation(id: OrganisationId) = organisations.firstOrNull { it.id == id }

    fun service(id: ServiceId) = services.firstOrNull { it.id == id }

    fun pool(id: PoolId) = pools.firstOrNull { it.id == id }

    fun trainer(id: TrainerId) = trainers.firstOrNull { it.id == id }
}

/** Objective of the scaling of a team's pools: low cost or little idle time. */
@Serializable
enum class ScalePolicy { COST_FIRST, IDLE_TIME_FIRST }

/** How an entry treats an organisation's requests while it can reach neither the platform nor its peers. */
@Serializable
enum class IsolationPolicy { SERVE_UNTIL_DEADLINE, REFUSE }

/** Limits and weight of an organisation; each limit applies to the sum over all entries. */
@Serializable
data class OrganisationDeclaration(
    val id: OrganisationId,
    val requestsPerS: Double = 100.0,
    val concurrentRequests: Int = 64,
    val tokensPerS: Double = 20_000.0,
    val weight: Int = 1,
    val isolation: IsolationPolicy = IsolationPolicy.SERVE_UNTIL_DEADLINE,
    val isolationGraceMs: Long = 600_000,
)

/** A caller's key. Only the SHA-256 of its secret is stored. The id of a withdrawn key can't be granted again. */
@Serializable
data class KeyDeclaration(
    val id: KeyId,
    val organisation: OrganisationId,
    val secretSha256: String,
    val withdrawn: Boolean = false,
)

/** Kind of the targets behind a pool or service. */
@Serializable
enum class TargetKind { MODEL, PLAIN }

/** Service that callers address by its name in the request path. */
@Serializable
data class ServiceDeclaration(
    val id: ServiceId,
    val kind: TargetKind,
    val pool: PoolId,
    val open: Boolean = false,
    val idempotentPosts: Boolean = false,
    val timeoutMs: Long = 30_000,
    val maxRequestBytes: Long = 1_048_576,
    @SerialName("maxAnswerBytes") val maxResponseBytes: Long = 8_388_608,
)

/** Pool of interchangeable targets, with bounds on its size per availability zone. */
@Serializable
data class PoolDeclaration(
    val id: PoolId,
    val kind: TargetKind,
    val slotsPerTarget: Int = 8,
    val reservedPublicSlots: Int = 0,
    val zones: List<PoolZoneDeclaration> = emptyList(),
)

/** Bounds on a pool's size in one availability zone. */
@Serializable
data class PoolZoneDeclaration(
    val zone: ZoneId,
    val minTargets: Int = 1,
    val maxTargets: Int = 4,
    val preferCheap: Boolean = true,
)

/** Trainer that may submit steps, with the service that scores its samples and the samples' max staleness. */
@Serializable
data class TrainerDeclaration(
    val id: TrainerId,
    val organisation: OrganisationId,
    val service: ServiceId,
    val scorer: ServiceId? = null,
    val maxStalenessVersions: Long = 2,
    val maxSamplesPerStep: Int = 4_096,
)

/** An accepted declaration and its revision. */
@Serializable
data class TeamSnapshot(
    val revision: Revision,
    val changeId: String,
    val declaration: Declaration,
)
