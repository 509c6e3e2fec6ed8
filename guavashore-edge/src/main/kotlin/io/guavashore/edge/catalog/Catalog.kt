/*
 * Local replica of the store's shared collections, held by every VM: declaration, targets, published versions, VMs.
 *
 * A change may arrive from the store and from several peers, in any order and more than once. The revision of the last
 * change is kept for each object, even after its removal, and a change is applied only if its revision is higher. So
 * replicas that received the same changes are equal, regardless of the order.
 */
package io.guavashore.edge.catalog

import io.guavashore.platform.CollectionName
import io.guavashore.platform.EntryChange
import io.guavashore.platform.StoreResponse
import io.guavashore.platform.StoredEntry

/** Replica of [collections]. Not thread-safe. */
class Catalog(
    val collections: List<CollectionName>,
) {
    private class Replica {
        val changes = HashMap<String, EntryChange>()
        var asOfRevision = 0L
        var latestRevision = 0L
    }

    private val replicas = collections.associateWith { Replica() }

    /** Existing objects of [collection], in no particular order. */
    fun entries(collection: CollectionName): List<StoredEntry> =
        replica(collection)
            .changes.values
            .filterNot { it.deleted }
            .map { it.entry }

    fun entry(
        collection: CollectionName,
        name: String,
    ): StoredEntry? = replica(collection).changes[name]?.takeUnless { it.deleted }?.entry

    /** True once the complete collection has been received. */
    fun isKnown(collection: CollectionName): Boolean = replica(collection).asOfRevision > 0

    /** Revision up to which all changes of [collection] have been applied; 0 if it is not known. */
    fun asOf(collection: CollectionName): Long = replica(collection).asOfRevision

    /** Revision of the newest change applied; peers compare it to find out whether they lack changes. */
    fun latestRevision(collection: CollectionName): Long = replica(collection).latestRevision

    /** Applies [changes]; returns those that were newer than the known ones. */
    fun apply(
        collection: CollectionName,
        changes: List<EntryChange>,
    ): List<EntryChange> {
        val replica = replica(collection)
        return changes.filter { change ->
            val known = replica.changes[change.entry.name]
            val isNew = known == null || known.entry.revision < change.entry.revision
            if (isNew) replica.changes[change.entry.name] = change
            replica.latestRevision = maxOf(replica.latestRevision, change.entry.revision)
            isNew
        }
    }

    /** Records that all changes up to [revision] have been applied. */
    fun completeUpTo(
        collection: CollectionName,
        revision: Long,
    ) {
        val replica = replica(collection)
        replica.asOfRevision = maxOf(replica.asOfRevision, revision)
    }

    /**
     * Applies a complete listing: objects that it does not contain are removed unless their last change is newer than
     * the listing. Returns the changes applied.
     */
    fun applyListing(
        collection: CollectionName,
        listing: StoreResponse.Listing,
    ): List<EntryChange> {
        val listed = listing.entries.mapTo(HashSet()) { it.name }
        val removed =
            replica(collection)
                .changes.values
                .filter { !it.deleted && it.entry.name !in listed && it.entry.revision <= listing.asOfRevision }
                .map { EntryChange(it.entry.copy(revision = listing.asOfRevision), deleted = true) }
        val present = listing.entries.map { EntryChange(it, deleted = false) }
        val applied = apply(collection, present + removed)
        completeUpTo(collection, listing.asOfRevision)
        return applied
    }

    /** Changes with a higher revision than [revision], for a peer that lacks them. */
    fun changesAfter(
        collection: CollectionName,
        revision: Long,
    ): List<EntryChange> = replica(collection).changes.values.filter { it.entry.revision > revision }

    private fun replica(collection: CollectionName) = replicas.getValue(collection)
}
