/*
 * Selects the service that runs an item, among those to which the item's route sends requests.
 *
 * While all services have targets, the choice depends only on the item and the declaration, so that an item whose run
 * broke off stays with its service, also after the coordinator has changed. Over all items, each service gets its
 * share.
 */
package io.guavashore.edge.batches

import io.guavashore.api.ServiceId
import io.guavashore.edge.declared.EdgeDeclaration
import io.guavashore.edge.declared.WeightedService

/**
 * Placement demand of [item] under [declaration]; null if the item has no route. A service without a weight gets no
 * items. Of the others, those for which [hasTargets] is true are preferred.
 */
internal fun demandOf(
    item: ItemState,
    declaration: EdgeDeclaration,
    hasTargets: (ServiceId) -> Boolean = { true },
): ItemDemand? {
    val route = declaration.route(item.batch.record.host, item.spec.path) ?: return null
    val weighted = route.backends.filter { it.weight > 0 }
    val available = if (weighted.size > 1) weighted.filter { hasTargets(it.service) }.ifEmpty { weighted } else weighted
    return ItemDemand(item, shareOf(item, available), item.batch.record.model)
}

/** Service of [backends] in whose share [item] falls; null if there are none. */
private fun shareOf(
    item: ItemState,
    backends: List<WeightedService>,
): ServiceId? {
    if (backends.size <= 1) return backends.firstOrNull()?.service
    val shareEnds = backends.runningFold(0) { end, backend -> end + backend.weight }.drop(1)
    val hash = item.spec.id.hashCode() * HASH_FACTOR
    val point = Math.floorMod(hash, shareEnds.last())
    return backends[shareEnds.indexOfFirst { point < it }].service
}

/** Spreads consecutive ids; a prime close to 2^32 divided by the golden ratio. */
private const val HASH_FACTOR = -1_640_531_535
