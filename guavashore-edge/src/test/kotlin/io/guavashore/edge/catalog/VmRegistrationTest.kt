package io.guavashore.edge.catalog

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import io.guavashore.api.Incarnation
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.edge.peers.VmRecord
import io.guavashore.platform.CallStore
import io.guavashore.platform.CollectionName
import io.guavashore.platform.EntryChange
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreCallError
import io.guavashore.platform.StoreResponse
import io.guavashore.platform.StoredEntry
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.Json
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class VmRegistrationTest {
    private val vms = CollectionName("vms")
    private val catalog = Catalog(listOf(vms))
    private val vmRecord = VmRecord(VmId("vm"), Incarnation(2), "10.0.0.1:1", ZoneId("z"), capacity = 1.0)
    private val calls = ArrayList<String>()
    private val store: CallStore = { call, _ ->
        calls += call.javaClass.simpleName
        if (call is StoreCall.Create && entryAddress != null) {
            Err(StoreCallError.Conflict())
        } else {
            Ok(StoreResponse.Entry(null))
        }
    }
    private var entryAddress: String? = null

    private fun storeEntry(address: String?) {
        entryAddress = address
        val before = address?.let { Json.encodeToString(vmRecord.copy(address = it, incarnation = Incarnation(1))) }
        val entries = listOfNotNull(before?.let { EntryChange(StoredEntry("vm", 3, it), deleted = false) })
        catalog.apply(vms, entries)
        catalog.completeUpTo(vms, 3)
    }

    private fun register() = runTest { VmRegistration(vmRecord, vms, catalog, store).ensureRegistered() }

    @Test
    fun `a VM that restarts with the same address writes no entry`() {
        storeEntry(vmRecord.address)
        register()
        assertEquals(emptyList(), calls)
    }

    @Test
    fun `a VM that restarts with another address replaces its entry`() {
        storeEntry("10.0.0.2:1")
        register()
        assertEquals(listOf("Create", "Replace"), calls)
    }

    @Test
    fun `an entry that can't be decoded yields no VM`() = assertNull(readVmRecord("""{"vm":7}"""))

    @Test
    fun `a new VM creates its entry even if the collection of VMs never becomes known`() {
        register()
        assertEquals(listOf("Create"), calls)
    }
}
