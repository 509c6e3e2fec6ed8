package io.guavashore.keys

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.guavashore.api.Declaration
import io.guavashore.api.KeyDeclaration
import io.guavashore.api.KeyId
import io.guavashore.api.OrganisationId
import io.guavashore.api.RefusalKind
import io.guavashore.api.TeamId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull

class KeyRingTest {
    private val weavers = OrganisationId("weavers")
    private val first = CallerKey.generate(KeyId("first"))
    private val second = CallerKey.generate(KeyId("second"))

    private fun ring(firstWithdrawn: Boolean = false) =
        KeyRing(
            Declaration(
                team = TeamId("umhlanga"),
                keys =
                    listOf(
                        KeyDeclaration(KeyId("first"), weavers, first.secretSha256, withdrawn = firstWithdrawn),
                        KeyDeclaration(KeyId("second"), weavers, second.secretSha256),
                    ),
            ),
        )

    @Nested
    inner class `a presented key` {
        @Test
        fun `a key is accepted for its organisation unless it is withdrawn`() {
            assertEquals(weavers, ring().check(first.text).get()?.organisation)
        }

        @Test
        fun `a missing, malformed or unknown key is refused, without its secret in the refusal`() {
            val expectedKinds =
                mapOf(
                    null to RefusalKind.KEY_MISSING,
                    "" to RefusalKind.KEY_INVALID,
                    "gk_first_" to RefusalKind.KEY_INVALID,
                    "gk_first_wrong-secret" to RefusalKind.KEY_INVALID,
                    first.text + "x" to RefusalKind.KEY_INVALID,
                    first.text.replace("first", "second") to RefusalKind.KEY_INVALID,
                    "gk_unknown_wrong-secret" to RefusalKind.KEY_INVALID,
                    "x".repeat(10_000) to RefusalKind.KEY_INVALID,
                )
            expectedKinds.forEach { (text, kind) ->
                val refusal = ring().check(text).getError()
                assertEquals(kind, refusal?.kind, "for $text")
                assertEquals(true, refusal?.notRun)
                assertFalse("wrong-secret" in refusal?.message.orEmpty())
            }
        }

        @Test
        fun `a withdrawn key is refused, while the organisation's other key stays accepted`() {
            assertEquals(RefusalKind.KEY_WITHDRAWN, ring(firstWithdrawn = true).check(first.text).getError()?.kind)
            assertNull(ring(firstWithdrawn = true).check(second.text).getError())
        }

        @Test
        fun `a secret is found in text even if it contains the separators of a key`() {
            listOf("abcdefgh", "abc_defgh_", "_-_-_-_-x").forEach { secret ->
                val key = CallerKey.parseOrNull("gk_first_$secret")
                assertEquals(true, key?.isContainedIn("a query with $secret in it"), secret)
                assertEquals(false, key?.isContainedIn("a query without it"), secret)
            }
        }

        @Test
        fun `toString of a key does not include its secret`() {
            assertEquals("gk_first_***", CallerKey.parseOrNull(first.text).toString())
        }
    }

    @Nested
    inner class `an open session` {
        @Test
        fun `withdrawing a key ends the open sessions of this key and no others`() {
            val sessions = KeySessions()
            val ended = mutableListOf<String>()
            sessions.open(KeyId("first")) { ended += "first" }
            sessions.open(KeyId("second")) { ended += "second" }
            sessions.open(KeyId("first")) { ended += "closed before" }.close()

            assertEquals(0, sessions.endWithdrawn(ring()::isInForce))
            assertEquals(1, sessions.endWithdrawn(ring(firstWithdrawn = true)::isInForce))
            assertEquals(listOf("first"), ended)
            assertEquals(1, sessions.size)
        }
    }
}
