package io.guavashore.edge.batches

import io.guavashore.api.ServiceId
import io.guavashore.edge.declared.EdgeDeclaration
import io.guavashore.edge.declared.WeightedService
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Services that run the items of a route with weights. */
class ItemRoutingTest {
    private val old = ServiceId("old")
    private val new = ServiceId("new")
    private val items = batch("b1", List(1_000) { itemSpec("e5b2907c14da%04x".format(it)) }).items

    private fun declaration(
        oldWeight: Int,
        newWeight: Int,
    ) = declaration(listOf(WeightedService(old, oldWeight), WeightedService(new, newWeight)))

    private fun servicesOf(
        declaration: EdgeDeclaration,
        hasTargets: (ServiceId) -> Boolean = { true },
    ) = items.map { demandOf(it, declaration, hasTargets)?.service }

    /** Guards against items that run at a service from which the operator has taken all requests. */
    @Test
    fun `a service without a weight gets no items`() =
        assertEquals(setOf<ServiceId?>(new), servicesOf(declaration(0, 100)).toSet())

    @Test
    fun `each service gets its share of the items`() {
        val newItems = servicesOf(declaration(75, 25)).count { it == new }
        assertTrue(newItems in 200..300, "$newItems of 1,000 items, 250 expected")
    }

    @Test
    fun `items go to another service with a weight if theirs has no targets`() =
        assertEquals(setOf<ServiceId?>(new), servicesOf(declaration(75, 25)) { it == new }.toSet())

    /** Guards against items that are given up although their route is still declared. */
    @Test
    fun `items wait while no service has a weight`() {
        val demand = assertNotNull(demandOf(items.first(), declaration(0, 0)))
        assertNull(demand.service)
    }
}
