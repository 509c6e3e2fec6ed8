package io.guavashore.settings

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.guavashore.api.OrganisationId
import org.junit.jupiter.api.Nested
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class SettingsTest {
    private fun example(name: String) = File("../examples/$name").readText()

    @Nested
    inner class `the example files` {
        @Test
        fun `the declarations of both deployments are read without errors`() {
            listOf("umhlanga.toml", "voces-abiertas.toml").forEach { name ->
                val outcome = readDeclaration(example(name))
                assertNull(outcome.getError(), name)
                assertEquals(8, outcome.get()?.organisations?.size, name)
            }
        }

        @Test
        fun `the settings of a VM are read without errors`() {
            assertNull(readNodeSettings(example("node.toml")).getError())
        }
    }

    @Nested
    inner class `an invalid declaration` {
        private val invalidDeclaration =
            """
            team = "t"
            polcy = "cost_first"
            [organisations.weavers]
            requests_per_s = "many"
            concurrent_requests = 0
            rate_limit = 5
            [keys.app]
            organisation = "nobody"
            secret_sha256 = "abc"
            [pools.language]
            kind = "engine"
            [pools.language.zones.a]
            min_targets = 5
            max_targets = 2
            [services.chat]
            kind = "model"
            pool = "speech"
            [trainers.weave]
            organisation = "weavers"
            service = "chat-2"
            """.trimIndent()

        @Test
        fun `all errors of an invalid declaration are returned at once, each with its path and remedy`() {
            val errors = readDeclaration(invalidDeclaration).getError().orEmpty().associate { it.path to it.message }
            val expected =
                mapOf(
                    "polcy" to "is not a known key; did you mean policy?",
                    "organisations.weavers.requests_per_s" to "must be a number from 0.1 to 1000000.0",
                    "organisations.weavers.concurrent_requests" to "must be from 1 to 100000, is 0",
                    "organisations.weavers.rate_limit" to "is deprecated; use requests_per_s",
                    "keys.app.organisation" to "organisation \"nobody\" is not declared; add [organisations.nobody]",
                    "keys.app.secret_sha256" to "must be 64 lower-case hexadecimal digits",
                    "pools.language.kind" to "must be \"model\" or \"plain\"",
                    "pools.language.zones.a.min_targets" to "must not be above max_targets, 2",
                    "services.chat.pool" to "pool \"speech\" is not declared; add [pools.speech]",
                    "trainers.weave.service" to "service \"chat-2\" is not a declared model service",
                )
            expected.forEach { (path, message) -> assertEquals(message, errors[path], path) }
            assertEquals(expected.keys, errors.keys)
        }

        @Test
        fun `a syntax error in a declaration is returned with its line`() {
            assertTrue(
                readDeclaration("team = \"t\"\npolicy = \n").getError().orEmpty().any {
                    it.path == "syntax" &&
                        it.line == 2
                },
            )
        }
    }

    @Nested
    inner class `defaults` {
        @Test
        fun `an absent field of a declaration gets its default`() {
            val declaration = readDeclaration("team = \"t\"\n[organisations.o]\n").get()
            assertEquals(100.0, declaration?.organisation(OrganisationId("o"))?.requestsPerS)
        }
    }

    @Test
    fun `an address with a host name instead of an IP address is rejected`() {
        val withHostName = example("node.toml").replace("127.0.0.1:8080", "localhost:8080")
        assertEquals(listOf("entry.listen"), readNodeSettings(withHostName).getError()?.map { it.path })
    }
}
