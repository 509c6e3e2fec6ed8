/*
 * The platform's store, seen as collections of versioned objects, as one function type over messages.
 *
 * Calls are serializable values, so that a VM whose calls the store refuses can have them made by another VM.
 */
package io.guavashore.platform

import com.github.michaelbull.result.Result
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Name of a collection of objects, such as `batches`. */
@JvmInline
@Serializable
value class CollectionName(
    val value: String,
) {
    override fun toString() = value
}

/**
 * Object as read from the store.
 *
 * @property content JSON text of the object
 * @property status JSON text of the object's status part, which has a separate writer; null if none was written
 * @property revision the store's revision counter at the object's last change
 */
@Serializable
data class StoredEntry(
    val name: String,
    val revision: Long,
    val content: String,
    val status: String? = null,
)

/** Change of an object; for a deleted object, [entry] is its last state with the revision of the deletion. */
@Serializable
data class EntryChange(
    val entry: StoredEntry,
    val deleted: Boolean,
)

/** Call to the store. */
@Serializable
sealed interface StoreCall {
    val collection: CollectionName

    @Serializable
    @SerialName("list")
    data class ListAll(
        override val collection: CollectionName,
    ) : StoreCall

    @Serializable
    @SerialName("read")
    data class Read(
        override val collection: CollectionName,
        val name: String,
    ) : StoreCall

    /** Waits up to [waitMs] for changes after [sinceRevision]. */
    @Serializable
    @SerialName("watch")
    data class Watch(
        override val collection: CollectionName,
        val sinceRevision: Long,
        val waitMs: Long,
    ) : StoreCall

    /** Creates an object; fails with a conflict if it exists. */
    @Serializable
    @SerialName("create")
    data class Create(
        override val collection: CollectionName,
        val name: String,
        val content: String,
    ) : StoreCall

    /** Replaces an object; if [expectedRevision] is given, only while the object has this revision. */
    @Serializable
    @SerialName("replace")
    data class Replace(
        override val collection: CollectionName,
        val name: String,
        val content: String,
        val expectedRevision: Long? = null,
    ) : StoreCall

    /** Replaces an object's status; if [expectedRevision] is given, only while the object has this revision. */
    @Serializable
    @SerialName("status")
    data class ReplaceStatus(
        override val collection: CollectionName,
        val name: String,
        val status: String,
        val expectedRevision: Long? = null,
    ) : StoreCall

    @Serializable
    @SerialName("delete")
    data class Delete(
        override val collection: CollectionName,
        val name: String,
    ) : StoreCall
}

/** Response to a [StoreCall]. */
@Serializable
sealed interface StoreResponse {
    /** All objects as of [asOfRevision]. */
    @Serializable
    @SerialName("listing")
    data class Listing(
        val entries: List<StoredEntry>,
        val asOfRevision: Long,
    ) : StoreResponse

    /** One object, or null if it does not exist. */
    @Serializable
    @SerialName("entry")
    data class Entry(
        val entry: StoredEntry?,
    ) : StoreResponse

    /** Changes up to [asOfRevision], from which the next watch continues. */
    @Serializable
    @SerialName("changes")
    data class Changes(
        val changes: List<EntryChange>,
        val asOfRevision: Long,
    ) : StoreResponse
}

/** Why a [StoreCall] failed. */
@Serializable
sealed interface StoreCallError {
    val message: String

    /** True if the store is available, but the watch must be replaced by listing the collection again. */
    val requiresListing: Boolean get() = this == HistoryGone || this == WatchEnded

    /** The object's state did not match the call's condition; [current] is the object, if the store returned it. */
    @Serializable
    @SerialName("conflict")
    data class Conflict(
        val current: StoredEntry? = null,
    ) : StoreCallError {
        override val message: String get() =
            "the object was changed by another writer; read it again and reapply the change"
    }

    /**
     * The store refused the call and changed nothing, or could not be connected to.
     *
     * @property isUnavailable true if the store itself stated that it is unavailable, which no rate limit and no
     * failure on this VM can cause
     */
    @Serializable
    @SerialName("refused")
    data class NotDone(
        val reason: String,
        val isUnavailable: Boolean = false,
    ) : StoreCallError {
        override val message: String get() = "the store refused the call ($reason) and changed nothing; retry later"
    }

    /** No response: a write may have taken effect, or may still do so later. */
    @Serializable
    @SerialName("unknown")
    data class Unknown(
        val reason: String,
    ) : StoreCallError {
        override val message: String get() =
            "the store did not respond ($reason); read the object back before relying on it"
    }

    /** The store no longer has the requested history; list the collection again. */
    @Serializable
    @SerialName("history")
    data object HistoryGone : StoreCallError {
        override val message: String get() = "the store no longer has the requested history; list the collection again"
    }

    /** The watch was open during an outage and may never return; list the collection again. */
    @Serializable
    @SerialName("watch-ended")
    data object WatchEnded : StoreCallError {
        override val message: String get() = "the watch was open during an outage; list the collection again"
    }
}

/** Calls the store; a call without a response fails at most [timeoutMs] after its start. */
typealias CallStore = suspend (call: StoreCall, timeoutMs: Long) -> Result<StoreResponse, StoreCallError>
