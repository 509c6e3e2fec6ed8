/*
 * Registers this VM in the store, so that other VMs find it.
 *
 * Load pattern: VMs are restarted one after the other and keep their address. Their entries are still valid, and each
 * write of an entry would be sent to every other VM, so an entry is written only if the address has changed.
 */
package io.guavashore.edge.catalog

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.edge.peers.VmCard
import io.guavashore.platform.CallStore
import io.guavashore.platform.Collection
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreFault
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

private val log = KotlinLogging.logger {}

/** Registration of the VM of [card] in [collection]. */
class Registration(
    private val card: VmCard,
    private val collection: Collection,
    private val catalog: Catalog,
    private val call: CallStore,
) {
    /** Returns once the store holds an entry with this VM's address. */
    suspend fun ensure() {
        withTimeoutOrNull(CATALOG_WAIT_MS) {
            while (!catalog.isKnown(collection)) delay(POLL_INTERVAL_MS)
        }
        if (isRegistered()) return log.info { "VM already registered: vm=${card.vm} address=${card.address}" }
        val content = Json.encodeToString(card)
        var fault = createOrReplace(content)
        while (fault != null) {
            log.warn { "VM registration failed, retrying: fault=${fault?.message}" }
            delay(RETRY_INTERVAL_MS)
            fault = createOrReplace(content)
        }
    }

    private fun isRegistered(): Boolean =
        catalog.entry(collection, card.vm.value)?.let { readVmCard(it.content) }?.address == card.address

    private suspend fun createOrReplace(content: String): StoreFault? {
        val created = call(StoreCall.Create(collection, card.vm.value, content), CALL_TIMEOUT_MS)
        if (created.isOk) return null
        if (created.error !is StoreFault.Conflict) return created.error
        val replaced = call(StoreCall.Replace(collection, card.vm.value, content), CALL_TIMEOUT_MS)
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
internal fun readVmCard(content: String): VmCard? =
    try {
        Json.decodeFromString<VmCard>(content)
    } catch (e: SerializationException) {
        log.warn { "VM entry can't be decoded, ignored: ${e.message}" }
        null
    }
