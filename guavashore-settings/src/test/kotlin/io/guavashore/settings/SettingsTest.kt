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
    private fun sample(name: String) = File("../examples/$name").readText()

    @Nested
    inner class `the samples` {
        @Test
        fun `of both deployments are without faults`() {
            listOf("umhlanga.toml", "voces-abiertas.toml").forEach { name ->
                val outcome = readDeclaration(sample(name))
                assertNull(outcome.getError(), name)
                assertEquals(8, outcome.get()?.organisations?.size, name)
            }
        }

        @Test
        fun `of a VM's settings is without faults`() {
            assertNull(readNodeSettings(sample("node.toml")).getError())
        }
    }

    @Nested
    inner class `a faulty declaration` {
        private val faulty =
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
        fun `is told all its faults at once, each with its path and remedy`() {
            val faults = readDeclaration(faulty).getError().orEmpty().associate { it.path to it.message }
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
            expected.forEach { (path, message) -> assertEquals(message, faults[path], path) }
            assertEquals(expected.keys, faults.keys)
        }

        @Test
        fun `of bad syntax is told the line`() {
            assertTrue(
                readDeclaration("team = \"t\"\npolicy = \n").getError().orEmpty().any {
                    it.path == "syntax" &&
                        it.line == 2
                },
            )
        }
    }

    @Nested
    inner class `a declaration with defaults` {
        @Test
        fun `has them filled in`() {
            val declaration = readDeclaration("team = \"t\"\n[organisations.o]\n").get()
            assertEquals(100.0, declaration?.organisation(OrganisationId("o"))?.requestsPerS)
        }
    }

    @Test
    fun `addresses must be IP numbers`() {
        val named = sample("node.toml").replace("127.0.0.1:8080", "localhost:8080")
        assertEquals(listOf("entry.listen"), readNodeSettings(named).getError()?.map { it.path })
    }
}
