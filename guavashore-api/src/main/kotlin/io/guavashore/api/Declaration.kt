/*
 * Declared configuration of one team, as operators keep it in version control and as the store holds it.
 * It is immutable: a change is a new revision of the whole subtree.
 */
package io.guavashore.api

import kotlinx.serialization.Serializable

/** Whole declaration of a team. Field docs and bounds stand once, in the settings schema. */
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

/** What the scaling of a team's pools favours. */
@Serializable
enum class ScalePolicy { COST_FIRST, IDLE_TIME_FIRST }

/** What an entry does for an organisation once it can hear neither platform nor peers. */
@Serializable
enum class IsolationPolicy { SERVE_UNTIL_DEADLINE, REFUSE }

/** Limits and weight of an organisation; limits hold over all entries together. */
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

/** A caller's key, at rest only as the SHA-256 of its secret. A withdrawn id can't be granted again. */
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

/** Service that callers name in their path. */
@Serializable
data class ServiceDeclaration(
    val id: ServiceId,
    val kind: TargetKind,
    val pool: PoolId,
    val open: Boolean = false,
    val idempotentPosts: Boolean = false,
    val timeoutMs: Long = 30_000,
    val maxRequestBytes: Long = 1_048_576,
    val maxAnswerBytes: Long = 8_388_608,
)

/** Pool of like targets, with bounds of its size per availability zone. */
@Serializable
data class PoolDeclaration(
    val id: PoolId,
    val kind: TargetKind,
    val slotsPerTarget: Int = 8,
    val reservedPublicSlots: Int = 0,
    val zones: List<PoolZoneDeclaration> = emptyList(),
)

/** Bounds of a pool's size in one availability zone. */
@Serializable
data class PoolZoneDeclaration(
    val zone: ZoneId,
    val minTargets: Int = 1,
    val maxTargets: Int = 4,
    val preferCheap: Boolean = true,
)

/** Trainer that may put steps, who scores its samples and how old they may be. */
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
