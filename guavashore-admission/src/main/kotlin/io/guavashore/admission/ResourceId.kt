/*
 * Ids of limited resources.
 */
package io.guavashore.admission

import io.guavashore.api.stableHash
import kotlinx.serialization.Serializable

/**
 * Limited resource, by the hash of its name, such as `slots/engine-3`: reports name many of them several times a
 * minute, and a hash is a third as long.
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
