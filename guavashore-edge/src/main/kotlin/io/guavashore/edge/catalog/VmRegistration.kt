/*
 * Registers this VM in the store, so that other VMs find it.
 *
 * Load pattern: VMs are restarted one after the other and keep their address. Their entries are still valid, and each
 * write of an entry would be sent to every other VM, so an entry is written only if the address has changed.
 */
package io.guavashore.edge.catalog

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.edge.peers.VmRecord
import io.guavashore.platform.CallStore
import io.guavashore.platform.CollectionName
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreCallError
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

private val log = KotlinLogging.logger {}

/** Registration of the VM of [vmRecord] in [collection]. */
class VmRegistration(
    private val vmRecord: VmRecord,
    private val collection: CollectionName,
    private val catalog: Catalog,
    private val call: CallStore,
) {
    /** Returns once the store holds an entry with this VM's address. */
    suspend fun ensureRegistered() {
        withTimeoutOrNull(CATALOG_WAIT_MS) {
            while (!catalog.isKnown(collection)) delay(POLL_INTERVAL_MS)
        }
        if (isRegistered()) return log.info { "VM already registered: vm=${vmRecord.vm} address=${vmRecord.address}" }
        val content = Json.encodeToString(vmRecord)
        var fault = createOrReplace(content)
        while (fault != null) {
            log.warn { "VM registration failed, retrying: fault=${fault?.message}" }
            delay(RETRY_INTERVAL_MS)
            fault = createOrReplace(content)
        }
    }

    private fun isRegistered(): Boolean =
        catalog.entry(collection, vmRecord.vm.value)?.let { readVmRecord(it.content) }?.address == vmRecord.address

    private suspend fun createOrReplace(content: String): StoreCallError? {
        val created = call(StoreCall.Create(collection, vmRecord.vm.value, content), CALL_TIMEOUT_MS)
        if (created.isOk) return null
        if (created.error !is StoreCallError.Conflict) return created.error
        val replaced = call(StoreCall.Replace(collection, vmRecord.vm.value, content), CALL_TIMEOUT_MS)
        return if (replaced.isOk) null else replaced.error
    }

    private companion object {
        /** Longer than a starting VM waits for its peers and then for its own listing. */
        const val CATALOG_WAIT_MS = 3_000L
        const val POLL_INTERVAL_MS = 25L
        const val CALL_TIMEOUT_MS = 1_000L
        const val RETRY_INTERVAL_MS = 500L
    }
}

/** Decodes a VM's entry; logs a warning and returns null if it can't be decoded. */
internal fun readVmRecord(content: String): VmRecord? =
    try {
        Json.decodeFromString<VmRecord>(content)
    } catch (e: SerializationException) {
        log.warn { "VM entry can't be decoded, ignored: ${e.message}" }
        null
    }
