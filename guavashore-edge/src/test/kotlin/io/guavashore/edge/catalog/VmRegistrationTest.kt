package io.guavashore.edge.catalog

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import io.guavashore.api.Incarnation
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.edge.peers.VmRecord
import io.guavashore.platform.CallStore
import io.guavashore.platform.Collection
import io.guavashore.platform.EntryChange
import io.guavashore.platform.StoreAnswer
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreFault
import io.guavashore.platform.StoredEntry
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.Json
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class RegistrationTest {
    private val vms = Collection("vms")
    private val catalog = Catalog(listOf(vms))
    private val vmRecord = VmRecord(VmId("vm"), Incarnation(2), "10.0.0.1:1", ZoneId("z"), capacity = 1.0)
    private val calls = ArrayList<String>()
    private val store: CallStore = { call, _ ->
        calls += call.javaClass.simpleName
        if (call is StoreCall.Create && entryAt != null) Err(StoreFault.Conflict()) else Ok(StoreAnswer.Entry(null))
    }
    private var entryAt: String? = null

    private fun listed(address: String?) {
        entryAt = address
        val before = address?.let { Json.encodeToString(vmRecord.copy(address = it, incarnation = Incarnation(1))) }
        val entries = listOfNotNull(before?.let { EntryChange(StoredEntry("vm", 3, it), deleted = false) })
        catalog.apply(vms, entries)
        catalog.completeUpTo(vms, 3)
    }

    private fun register() = runTest { VmRegistration(vmRecord, vms, catalog, store).ensureRegistered() }

    @Test
    fun `a VM that comes back at its address writes nothing`() {
        listed(vmRecord.address)
        register()
        assertEquals(emptyList(), calls)
    }

    @Test
    fun `a VM that comes back at another address replaces its entry`() {
        listed("10.0.0.2:1")
        register()
        assertEquals(listOf("Create", "Replace"), calls)
    }

    @Test
    fun `an entry that can't be read names no VM`() = assertNull(readVmRecord("""{"vm":7}"""))

    @Test
    fun `a new VM is listed, also where nothing can be known of the others`() {
        register()
        assertEquals(listOf("Create"), calls)
    }
}
