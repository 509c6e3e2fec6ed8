/*
 * Identifiers of limited resources.
 */
package io.guavashore.admission

import io.guavashore.api.stableHash
import kotlinx.serialization.Serializable

/**
 * Identifies a limited resource by the hash of its name, such as `slots/engine-3`. Reports list many resources
 * several times a minute, and a hash is a third as long as a name.
 */
@JvmInline
@Serializable
value class ResourceId(
    val hash: Long,
) {
    override fun toString() = "resource-${hash.toULong().toString(RADIX)}"

    companion object {
        private const val RADIX = 16

        fun of(name: String) = ResourceId(stableHash(name))
    }
}
