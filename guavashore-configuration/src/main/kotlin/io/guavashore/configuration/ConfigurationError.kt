/*
 * Reasons why a change of configuration was not accepted, or why its outcome is unknown.
 */
package io.guavashore.configuration

import io.guavashore.api.Revision
import io.guavashore.platform.StoreError

/** Error of [ConfigurationStore]; [message] is shown to the operator. */
sealed interface ConfigurationError {
    val message: String

    /** The change is based on another revision than [current], usually because another operator's change came first. */
    data class Superseded(
        val current: Revision,
    ) : ConfigurationError {
        override val message = "revision $current is in force; base the change on it and apply again"
    }

    /** The team or revision named by [subject] does not exist. */
    data class NotFound(
        val subject: String,
    ) : ConfigurationError {
        override val message = "$subject does not exist; see 'guavashorectl history'"
    }

    /** The change would revert something irreversible, such as the withdrawal of a key. */
    data class Forbidden(
        override val message: String,
    ) : ConfigurationError

    /** The store failed during the write; [changeId] shows in the team's history if the change was accepted. */
    data class OutcomeUnknown(
        val changeId: String,
        val cause: StoreError,
    ) : ConfigurationError {
        override val message =
            "${cause.message}; the change may have been accepted: look for $changeId in 'guavashorectl history'"
    }

    /** The store failed before the change took effect. */
    data class StoreFailed(
        val cause: StoreError,
    ) : ConfigurationError {
        override val message = cause.message
    }
}
