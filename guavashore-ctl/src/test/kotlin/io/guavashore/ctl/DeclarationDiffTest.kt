package io.guavashore.ctl

import io.guavashore.api.Declaration
import io.guavashore.api.KeyDeclaration
import io.guavashore.api.KeyId
import io.guavashore.api.OrganisationDeclaration
import io.guavashore.api.OrganisationId
import io.guavashore.api.TargetId
import io.guavashore.api.TeamId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class DeclarationDiffTest {
    private val org = OrganisationId("o")
    private val before =
        Declaration(
            team = TeamId("t"),
            organisations = listOf(OrganisationDeclaration(org)),
            keys = listOf(KeyDeclaration(KeyId("old"), org, "00"), KeyDeclaration(KeyId("gone"), org, "11")),
            drainedTargets = setOf(TargetId("engine-1")),
        )

    @Test
    fun `a diff names each changed value by its path and nothing else`() {
        val after = before.copy(organisations = listOf(OrganisationDeclaration(org, weight = 3)))
        assertEquals(mapOf("organisations.o.weight" to ("1" to "3")), diff(before, after))
        assertEquals("~ organisations.o.weight: 1 -> 3", render(diff(before, after)))
    }

    @Nested
    inner class `applying a file` {
        @Test
        fun `that lacks a key withdraws it for good`() {
            val applied = carryOver(before, before.copy(keys = before.keys.take(1)))
            assertEquals(mapOf("old" to false, "gone" to true), applied.keys.associate { it.id.value to it.withdrawn })
            val again = carryOver(applied, before)
            assertEquals(true, again.keys.first { it.id.value == "gone" }.withdrawn)
        }

        @Test
        fun `does not take back a drain`() {
            assertEquals(
                setOf(TargetId("engine-1")),
                carryOver(before, before.copy(drainedTargets = emptySet())).drainedTargets,
            )
        }
    }
}
