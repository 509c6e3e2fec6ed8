/*
 * Versioned facts that every steward keeps a copy of: adopted revisions, tables of targets, suspects. Each fact has
 * one writer, whose authority lies elsewhere (a revision in the platform's store, a lease, or its own VM). A copy is
 * replaced only by a higher version, so facts never revert.
 */
package io.guavashore.membership

import kotlinx.serialization.Serializable

/** Version of a fact: the writer's [term] (revision, fencing number, incarnation), then its [sequence]. */
@Serializable
data class FactVersion(
    val key: String,
    val term: Long,
    val sequence: Long,
) {
    fun isNewerThan(other: FactVersion?): Boolean =
        other == null || compareValuesBy(this, other, FactVersion::term, FactVersion::sequence) > 0
}

/** A fact with its content, in JSON. */
@Serializable
data class Fact(
    val version: FactVersion,
    val content: String,
)

/** Copies of all facts. Thread-safe. */
class FactTable(
    private val onNews: (Fact) -> Unit = {},
) {
    private val facts = HashMap<String, Fact>()

    /** Takes in [fact] if it is newer than the copy; true if it was. */
    fun offer(fact: Fact): Boolean {
        synchronized(facts) {
            if (!fact.version.isNewerThan(facts[fact.version.key]?.version)) return false
            facts[fact.version.key] = fact
        }
        onNews(fact)
        return true
    }

    operator fun get(key: String): Fact? = synchronized(facts) { facts[key] }

    fun withPrefix(prefix: String): List<Fact> =
        synchronized(facts) {
            facts.values.filter { it.version.key.startsWith(prefix) }
        }

    fun versions(): List<FactVersion> = synchronized(facts) { facts.values.map { it.version }.sortedBy { it.key } }

    /** Hash of all versions; equal tables have equal hashes. */
    fun hash(): Long = versions().fold(1L) { hash, version -> hash * HASH_FACTOR + version.hashCode() }

    /** Keys of which [others] has a newer version than this table. */
    fun missing(others: List<FactVersion>): List<String> =
        synchronized(facts) { others.filter { it.isNewerThan(facts[it.key]?.version) }.map { it.key } }

    private companion object {
        const val HASH_FACTOR = 1_000_003L
    }
}
