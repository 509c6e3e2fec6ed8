/*
 * Typed ids. Each is a value class, so that a target's id can't be passed where an organisation's is
 * expected; serialized, each is its plain value.
 */
package io.guavashore.api

import kotlinx.serialization.Serializable

/** Team that owns a subtree of the declarations. */
@JvmInline
@Serializable
value class TeamId(
    val value: String,
) {
    override fun toString() = value
}

/** Organisation: the tenant that owns keys, limits and usage. */
@JvmInline
@Serializable
value class OrganisationId(
    val value: String,
) {
    override fun toString() = value
}

/** Public id of a caller's key; unlike the key's secret, it may appear in logs and reports. */
@JvmInline
@Serializable
value class KeyId(
    val value: String,
) {
    override fun toString() = value
}

/** Service that callers address by name within a team. */
@JvmInline
@Serializable
value class ServiceId(
    val value: String,
) {
    override fun toString() = value
}

/** Pool of interchangeable targets that serve one or more services. */
@JvmInline
@Serializable
value class PoolId(
    val value: String,
) {
    override fun toString() = value
}

/** One running target: a model engine or a plain service instance. */
@JvmInline
@Serializable
value class TargetId(
    val value: String,
) : Comparable<TargetId> {
    override fun compareTo(other: TargetId) = value.compareTo(other.value)

    override fun toString() = value
}

/** Availability zone. */
@JvmInline
@Serializable
value class ZoneId(
    val value: String,
) : Comparable<ZoneId> {
    override fun compareTo(other: ZoneId) = value.compareTo(other.value)

    override fun toString() = value
}

/** VM of the system; each runs one entry and one steward. */
@JvmInline
@Serializable
value class VmId(
    val value: String,
) : Comparable<VmId> {
    override fun compareTo(other: VmId) = value.compareTo(other.value)

    override fun toString() = value
}

/** Trainer as declared in a team's subtree. */
@JvmInline
@Serializable
value class TrainerId(
    val value: String,
) {
    override fun toString() = value
}

/** Step of a trainer; the trainer chooses the id, which is unique among its steps. */
@JvmInline
@Serializable
value class StepId(
    val value: String,
) {
    override fun toString() = value
}

/** Group of samples that is delivered to the trainer only when complete. */
@JvmInline
@Serializable
value class GroupId(
    val value: String,
) {
    override fun toString() = value
}

/** Sample within a group. */
@JvmInline
@Serializable
value class SampleId(
    val value: String,
) {
    override fun toString() = value
}

/** One attempt to run a request on one target; never reused. */
@JvmInline
@Serializable
value class AttemptId(
    val value: String,
) {
    override fun toString() = value
}

/** Version of a pool's model weights; newer versions have higher numbers. */
@JvmInline
@Serializable
value class WeightVersion(
    val value: Long,
) : Comparable<WeightVersion> {
    override fun compareTo(other: WeightVersion) = value.compareTo(other.value)

    override fun toString() = value.toString()
}

/** Revision of a team's declaration; increases by one with each accepted change. */
@JvmInline
@Serializable
value class Revision(
    val value: Long,
) : Comparable<Revision> {
    override fun compareTo(other: Revision) = value.compareTo(other.value)

    override fun toString() = value.toString()
}

/** Fencing number of a lease; increases with each new holder. */
@JvmInline
@Serializable
value class FencingNumber(
    val value: Long,
) : Comparable<FencingNumber> {
    override fun compareTo(other: FencingNumber) = value.compareTo(other.value)

    override fun toString() = value.toString()
}

/** Incarnation of a process; increases with each restart. */
@JvmInline
@Serializable
value class Incarnation(
    val value: Long,
) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation) = value.compareTo(other.value)

    override fun toString() = value.toString()
}
