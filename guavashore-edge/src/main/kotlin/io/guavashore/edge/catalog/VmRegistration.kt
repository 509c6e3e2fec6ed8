/*
 * Lists this VM in the store, so that others find it.
 *
 * Load pattern: VMs are restarted one after the other and come back at the address that they had. Their entries still
 * stand, and each write of one would be told to every other VM.
 */
package io.guavashore.edge.catalog

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.edge.peers.VmRecord
import io.guavashore.platform.CallStore
import io.guavashore.platform.Collection
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreFault
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

private val log = KotlinLogging.logger {}

/** Registration of the VM of [vmRecord] in [collection]. */
class VmRegistration(
    private val vmRecord: VmRecord,
    private val collection: Collection,
    private val catalog: Catalog,
    private val call: CallStore,
) {
    /** Returns once the store holds an entry with this VM's address. */
    suspend fun ensureRegistered() {
        withTimeoutOrNull(KNOWN_WITHIN_MS) {
            while (!catalog.isKnown(collection)) delay(LOOK_EVERY_MS)
        }
        if (isListed()) return log.info { "VM is registered already: vm=${vmRecord.vm} address=${vmRecord.address}" }
        val content = Json.encodeToString(vmRecord)
        var fault = create(content)
        while (fault != null) {
            log.warn { "not registered yet: fault=${fault?.message}" }
            delay(PAUSE_MS)
            fault = create(content)
        }
    }

    private fun isListed(): Boolean =
        catalog.entry(collection, vmRecord.vm.value)?.let { readVmRecord(it.content) }?.address == vmRecord.address

    private suspend fun create(content: String): StoreFault? {
        val created = call(StoreCall.Create(collection, vmRecord.vm.value, content), TIMEOUT_MS)
        if (created.isOk) return null
        if (created.error !is StoreFault.Conflict) return created.error
        val replaced = call(StoreCall.Replace(collection, vmRecord.vm.value, content), TIMEOUT_MS)
        return if (replaced.isOk) null else replaced.error
    }

    private companion object {
        /** Longer than a starting VM waits for peers and then for a listing of its own. */
        const val KNOWN_WITHIN_MS = 3_000L
        const val LOOK_EVERY_MS = 25L
        const val TIMEOUT_MS = 1_000L
        const val PAUSE_MS = 500L
    }
}

/** Reads a VM's entry; null, with a log line, if it can't be read. */
internal fun readVmRecord(content: String): VmRecord? =
    try {
        Json.decodeFromString<VmRecord>(content)
    } catch (e: SerializationException) {
        log.warn { "entry of a VM unreadable: ${e.message}" }
        null
    }
