package io.guavashore.edge.evacuation

import com.github.michaelbull.result.Err
import io.guavashore.api.Incarnation
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.edge.catalog.Catalog
import io.guavashore.edge.catalog.CatalogSync
import io.guavashore.edge.peers.Heartbeat
import io.guavashore.edge.peers.VmRecord
import io.guavashore.edge.process.SharedCollections
import io.guavashore.metrics.Metrics
import io.guavashore.platform.EntryChange
import io.guavashore.platform.StoreCallError
import io.guavashore.platform.StoredEntry
import kotlin.test.Test
import kotlin.test.assertEquals

/** What a VM knows of evacuated zones, under changes as the store and peers send them. */
class ZoneEvacuationsTest {
    private val evacuations = ZoneEvacuations({ 0 }, Metrics())

    private fun change(
        zone: String,
        revision: Long,
        deleted: Boolean = false,
        status: String? = null,
    ) = EntryChange(StoredEntry(zone, revision, "{}", status), deleted)

    private fun evacuated() = evacuations.zones.map { it.value }.sorted()

    /** VM whose store calls fail, so that it hears from peers only. */
    private fun syncOf(
        vm: String,
        catalog: Catalog,
        onChanges: (List<EntryChange>) -> Unit = {},
    ) = CatalogSync(
        VmId(vm),
        catalog,
        { _, _ -> Err(StoreCallError.NotDone("down")) },
        { emptyList() },
        {},
        { _, changes -> onChanges(changes) },
        { 0 },
        {},
    )

    @Test
    fun `two zones that are evacuated at the same time are taken back one by one`() {
        evacuations.apply(listOf(change("a", 2), change("b", 3)))
        assertEquals(listOf("a", "b"), evacuated())
        evacuations.apply(listOf(change("a", 4, deleted = true)))
        assertEquals(listOf("b"), evacuated())
        evacuations.apply(listOf(change("b", 5, status = "empty")))
        assertEquals(listOf("b"), evacuated(), "the status ends nothing")
    }

    @Test
    fun `a VM that the store does not serve learns of all evacuations from a peer, also those it missed`() {
        val collection = SharedCollections.EVACUATIONS
        val peerCatalog = Catalog(listOf(collection))
        val peer = syncOf("peer", peerCatalog)
        val own = syncOf("own", Catalog(listOf(collection))) { evacuations.apply(it) }
        peerCatalog.apply(collection, listOf(change("a", 2), change("b", 3)))
        peerCatalog.completeUpTo(collection, 3)
        val record = VmRecord(VmId("peer"), Incarnation(1), "10.0.0.1:1", ZoneId("z"), capacity = 1.0)
        val heartbeat = Heartbeat(record, wallMs = 0, newest = mapOf(collection to 3L))
        own.changesToRequest(heartbeat).forEach { own.onCollectionChanges(peer.onChangesRequest(it)) }
        assertEquals(listOf("a", "b"), evacuated())
        assertEquals(emptyList(), own.changesToRequest(heartbeat), "nothing more to ask for")
    }

    @Test
    fun `the last known state is kept without contact`() {
        evacuations.apply(listOf(change("a", 2)))
        evacuations.recordContact(hasContact = false)
        assertEquals(listOf("a"), evacuated())
    }
}
