/*
 * Copy of the shared collections of the store that every VM holds: declaration, targets, named versions, VMs.
 *
 * A change may arrive from the store and from several peers, in any order and more than once. Each object keeps the
 * revision of its last change, also when it is gone, and a change is applied only if its revision is higher. So copies
 * that have seen the same changes are equal, whatever way these took.
 */
package io.guavashore.edge.catalog

import io.guavashore.platform.Collection
import io.guavashore.platform.EntryChange
import io.guavashore.platform.StoreAnswer
import io.guavashore.platform.StoredEntry

/** Copy of the collections in [collections]. Not thread-safe. */
class Catalog(
    val collections: List<Collection>,
) {
    private class Copy {
        val changes = HashMap<String, EntryChange>()
        var asOfRevision = 0L
        var latestRevision = 0L
    }

    private val copies = collections.associateWith { Copy() }

    /** Objects of [collection] that exist, by name. */
    fun entries(collection: Collection): List<StoredEntry> =
        copy(collection)
            .changes.values
            .filterNot { it.deleted }
            .map { it.entry }

    fun entry(
        collection: Collection,
        name: String,
    ): StoredEntry? = copy(collection).changes[name]?.takeUnless { it.deleted }?.entry

    /** True once the whole collection has been heard of. */
    fun isKnown(collection: Collection): Boolean = copy(collection).asOfRevision > 0

    /** Revision up to which nothing of [collection] is missing here. */
    fun asOf(collection: Collection): Long = copy(collection).asOfRevision

    /** Revision of the newest change known; what peers compare. */
    fun latestRevision(collection: Collection): Long = copy(collection).latestRevision

    /** Applies [changes]; returns those that were new. */
    fun apply(
        collection: Collection,
        changes: List<EntryChange>,
    ): List<EntryChange> {
        val copy = copy(collection)
        return changes.filter { change ->
            val known = copy.changes[change.entry.name]
            val isNew = known == null || known.entry.revision < change.entry.revision
            if (isNew) copy.changes[change.entry.name] = change
            copy.latestRevision = maxOf(copy.latestRevision, change.entry.revision)
            isNew
        }
    }

    /** Takes note that all changes up to [revision] have been applied. */
    fun completeUpTo(
        collection: Collection,
        revision: Long,
    ) {
        val copy = copy(collection)
        copy.asOfRevision = maxOf(copy.asOfRevision, revision)
    }

    /** Applies a whole listing: what it lacks and what is not newer than it is gone. Returns what changed. */
    fun applyListing(
        collection: Collection,
        listing: StoreAnswer.Listing,
    ): List<EntryChange> {
        val listed = listing.entries.mapTo(HashSet()) { it.name }
        val gone =
            copy(collection)
                .changes.values
                .filter { !it.deleted && it.entry.name !in listed && it.entry.revision <= listing.asOfRevision }
                .map { EntryChange(it.entry.copy(revision = listing.asOfRevision), deleted = true) }
        val present = listing.entries.map { EntryChange(it, deleted = false) }
        val applied = apply(collection, present + gone)
        completeUpTo(collection, listing.asOfRevision)
        return applied
    }

    /** Changes later than [revision], for a peer that lacks them. */
    fun changesAfter(
        collection: Collection,
        revision: Long,
    ): List<EntryChange> = copy(collection).changes.values.filter { it.entry.revision > revision }

    private fun copy(collection: Collection) = copies.getValue(collection)
}
