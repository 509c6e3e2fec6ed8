/*
 * What one VM tells the others about a target that it has reached again.
 */
package io.guavashore.edge.cold

import io.guavashore.api.TargetId
import kotlinx.serialization.Serializable

/**
 * The process of [target] that started at [bornAtMs] may be cold.
 *
 * @property coldForMs time for which it may stay cold, counted from the receipt of the message
 * @property unreachedForMs time for which the sender had no response from the target
 */
@Serializable
data class ColdNews(
    val target: TargetId,
    val bornAtMs: Long?,
    val coldForMs: Long,
    val unreachedForMs: Long,
)
