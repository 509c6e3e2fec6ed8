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
            keys = listOf(KeyDeclaration(KeyId("remaining"), org, "00"), KeyDeclaration(KeyId("removed"), org, "11")),
            drainedTargets = setOf(TargetId("engine-1")),
        )

    @Test
    fun `the diff of two declarations lists each changed value by its path and no unchanged ones`() {
        val after = before.copy(organisations = listOf(OrganisationDeclaration(org, weight = 3)))
        assertEquals(mapOf("organisations.o.weight" to ("1" to "3")), diff(before, after))
        assertEquals("~ organisations.o.weight: 1 -> 3", render(diff(before, after)))
    }

    @Nested
    inner class `when a declaration is applied` {
        @Test
        fun `a key that the declaration lacks is withdrawn, and declaring the key again does not restore it`() {
            val withoutKey = keepWithdrawalsAndDrains(before, before.copy(keys = before.keys.take(1)))
            assertEquals(
                mapOf("remaining" to false, "removed" to true),
                withoutKey.keys.associate { it.id.value to it.withdrawn },
            )
            val declaredAgain = keepWithdrawalsAndDrains(withoutKey, before)
            assertEquals(true, declaredAgain.keys.first { it.id.value == "removed" }.withdrawn)
        }

        @Test
        fun `a drained target that the declaration lacks continues to drain`() {
            assertEquals(
                setOf(TargetId("engine-1")),
                keepWithdrawalsAndDrains(before, before.copy(drainedTargets = emptySet())).drainedTargets,
            )
        }
    }
}
