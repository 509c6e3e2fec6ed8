/*
 * Facts: small versioned values that gossip replicates to every steward, such as adopted revisions, tables of targets
 * and suspects. Each key has one writer at a time, which is determined outside of gossip: by a revision in the
 * platform's store, by a lease, or by the VM that the value describes. A copy is replaced only by a higher version, so
 * that values never revert.
 */
package io.guavashore.membership

import kotlinx.serialization.Serializable

/**
 * Version of the fact under [key]. Versions are ordered by [term], then by [sequence].
 *
 * @property term revision, fencing number or incarnation that the writer holds
 * @property sequence number of the write within the term
 */
@Serializable
data class FactVersion(
    val key: String,
    val term: Long,
    val sequence: Long,
) {
    fun isNewerThan(other: FactVersion?): Boolean =
        other == null || compareValuesBy(this, other, FactVersion::term, FactVersion::sequence) > 0
}

/** Replicated value; [content] is JSON. */
@Serializable
data class Fact(
    val version: FactVersion,
    val content: String,
)

/** Newest known copy of each fact. Thread-safe. [onUpdate] is called after each update, outside the lock. */
class FactTable(
    private val onUpdate: (Fact) -> Unit = {},
) {
    private val facts = HashMap<String, Fact>()

    /** Stores [fact] if it is newer than the copy held; returns true if it was. */
    fun offer(fact: Fact): Boolean {
        synchronized(facts) {
            if (!fact.version.isNewerThan(facts[fact.version.key]?.version)) return false
            facts[fact.version.key] = fact
        }
        onUpdate(fact)
        return true
    }

    operator fun get(key: String): Fact? = synchronized(facts) { facts[key] }

    fun withPrefix(prefix: String): List<Fact> =
        synchronized(facts) {
            facts.values.filter { it.version.key.startsWith(prefix) }
        }

    fun versions(): List<FactVersion> = synchronized(facts) { facts.values.map { it.version }.sortedBy { it.key } }

    /** Hash of all versions. Tables with the same versions have the same hash, which makes them cheap to compare. */
    fun hash(): Long = versions().fold(1L) { hash, version -> hash * HASH_FACTOR + version.hashCode() }

    /** Keys whose version in [others] is newer than in this table, or that this table lacks. */
    fun outdatedKeys(others: List<FactVersion>): List<String> =
        synchronized(facts) { others.filter { it.isNewerThan(facts[it.key]?.version) }.map { it.key } }

    private companion object {
        const val HASH_FACTOR = 1_000_003L
    }
}
