/*
 * Why a change of configuration was not accepted, or its outcome is unknown.
 */
package io.guavashore.configuration

import io.guavashore.api.Revision
import io.guavashore.platform.StoreError

/** Errors of [ConfigurationStore]. */
sealed interface ConfigurationError {
    val message: String

    /** Another operator's change came first. */
    data class Superseded(
        val current: Revision,
    ) : ConfigurationError {
        override val message = "revision $current is in force; base the change on it and apply again"
    }

    /** The team or revision does not exist. */
    data class NotFound(
        val what: String,
    ) : ConfigurationError {
        override val message = "$what does not exist; see 'guavashorectl history'"
    }

    /** The change would undo something that must stay. */
    data class Forbidden(
        override val message: String,
    ) : ConfigurationError

    /** The store could not be asked; [changeId] lets the outcome be settled later. */
    data class OutcomeUnknown(
        val changeId: String,
        val cause: StoreError,
    ) : ConfigurationError {
        override val message =
            "${cause.message}; the change may have been accepted: look for $changeId in 'guavashorectl history'"
    }

    /** The store failed before anything was changed. */
    data class StoreFailed(
        val cause: StoreError,
    ) : ConfigurationError {
        override val message = cause.message
    }
}
