/*
 * The platform's store as collections of versioned objects, as one function type over messages.
 *
 * Calls are values so that a VM that the store turns away can hand a call to another VM to carry out.
 */
package io.guavashore.platform

import com.github.michaelbull.result.Result
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Collection of objects, such as the batches. */
@JvmInline
@Serializable
value class Collection(
    val value: String,
) {
    override fun toString() = value
}

/**
 * Object as read.
 *
 * @property content JSON text that its writer stored
 * @property status JSON text of the second part, which has a writer of its own; null if none was written
 * @property revision the store's counter at the object's last change
 */
@Serializable
data class StoredEntry(
    val name: String,
    val revision: Long,
    val content: String,
    val status: String? = null,
)

/** An object that changed; of a deleted one, the last state with the revision of its removal. */
@Serializable
data class EntryChange(
    val entry: StoredEntry,
    val deleted: Boolean,
)

/** Call to the store. */
@Serializable
sealed interface StoreCall {
    val collection: Collection

    @Serializable
    @SerialName("list")
    data class ListAll(
        override val collection: Collection,
    ) : StoreCall

    @Serializable
    @SerialName("read")
    data class Read(
        override val collection: Collection,
        val name: String,
    ) : StoreCall

    /** Waits up to [waitMs] for changes after [sinceRevision]. */
    @Serializable
    @SerialName("watch")
    data class Watch(
        override val collection: Collection,
        val sinceRevision: Long,
        val waitMs: Long,
    ) : StoreCall

    /** Makes an object that must not exist. */
    @Serializable
    @SerialName("create")
    data class Create(
        override val collection: Collection,
        val name: String,
        val content: String,
    ) : StoreCall

    /** Replaces an object; with [expectedRevision] only if it is still at that one. */
    @Serializable
    @SerialName("replace")
    data class Replace(
        override val collection: Collection,
        val name: String,
        val content: String,
        val expectedRevision: Long? = null,
    ) : StoreCall

    @Serializable
    @SerialName("status")
    data class ReplaceStatus(
        override val collection: Collection,
        val name: String,
        val status: String,
    ) : StoreCall

    @Serializable
    @SerialName("delete")
    data class Delete(
        override val collection: Collection,
        val name: String,
    ) : StoreCall
}

/** Answer to a [StoreCall]. */
@Serializable
sealed interface StoreAnswer {
    /** All objects as of [asOfRevision]. */
    @Serializable
    @SerialName("listing")
    data class Listing(
        val entries: List<StoredEntry>,
        val asOfRevision: Long,
    ) : StoreAnswer

    /** One object, or null if there is none. */
    @Serializable
    @SerialName("entry")
    data class Entry(
        val entry: StoredEntry?,
    ) : StoreAnswer

    /** Changes up to [asOfRevision], from which the next watch goes on. */
    @Serializable
    @SerialName("changes")
    data class Changes(
        val changes: List<EntryChange>,
        val asOfRevision: Long,
    ) : StoreAnswer
}

/** Why a [StoreCall] failed. */
@Serializable
sealed interface StoreFault {
    val message: String

    /** True where the store serves, and a listing shows what the watch did not. */
    val asksForListing: Boolean get() = this == HistoryGone || this == WatchEnded

    /** The condition did not hold; [current] is the object as it is, if the store said. */
    @Serializable
    @SerialName("conflict")
    data class Conflict(
        val current: StoredEntry? = null,
    ) : StoreFault {
        override val message: String get() = "the object was changed by another writer; read it and decide anew"
    }

    /** The store refused the call; nothing was done. */
    @Serializable
    @SerialName("refused")
    data class NotDone(
        val reason: String,
    ) : StoreFault {
        override val message: String get() = "the store did nothing ($reason); call again later"
    }

    /** No answer: a write may take effect, also later. */
    @Serializable
    @SerialName("unknown")
    data class Unknown(
        val reason: String,
    ) : StoreFault {
        override val message: String get() = "the store did not answer ($reason); read back before acting on it"
    }

    /** The history asked for is gone; list anew. */
    @Serializable
    @SerialName("history")
    data object HistoryGone : StoreFault {
        override val message: String get() = "the store's history is gone; list the collection anew"
    }

    /** The watch was open during an outage and may never be answered; list anew. */
    @Serializable
    @SerialName("watch-ended")
    data object WatchEnded : StoreFault {
        override val message: String get() = "the watch was open during an outage; list the collection anew"
    }
}

/** Calls the store; a call without answer fails by [timeoutMs] after its start. */
typealias CallStore = suspend (call: StoreCall, timeoutMs: Long) -> Result<StoreAnswer, StoreFault>
