package io.guavashore.configuration

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.guavashore.api.Declaration
import io.guavashore.api.KeyDeclaration
import io.guavashore.api.KeyId
import io.guavashore.api.OrganisationId
import io.guavashore.api.Revision
import io.guavashore.api.TeamId
import io.guavashore.api.TeamSnapshot
import io.guavashore.platform.ObjectStore
import io.guavashore.testing.InMemoryStore
import io.guavashore.testing.StoreFault
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class ConfigurationStoreTest {
    private val team = TeamId("t")
    private val memory = InMemoryStore()
    private val configuration = ConfigurationStore(memory.asStore)

    private fun change(
        id: String,
        basedOn: Long?,
        declaration: Declaration = Declaration(team),
    ) = ChangeRequest(declaration, basedOn?.let(::Revision), id, author = "op", message = "", nowMs = 0)

    @Test
    fun `accepted changes get consecutive revisions, and the newest one is returned`() =
        runTest {
            configuration.accept(change("a", basedOn = null))
            configuration.accept(change("b", basedOn = 1))
            assertEquals(Revision(2), configuration.newest(team).get()?.revision)
        }

    @Nested
    inner class `concurrent changes` {
        @Test
        fun `a change based on an outdated revision is refused with the revision in force`() =
            runTest {
                configuration.accept(change("a", basedOn = null))
                configuration.accept(change("b", basedOn = 1))
                val late = configuration.accept(change("c", basedOn = 1)).getError()
                assertEquals(ConfigurationError.Superseded(Revision(2)), late)
            }

        @Test
        fun `a change accepted between another's read and write makes the conditional update fail`() =
            runTest {
                val real = memory.asStore
                var raced = false
                val racing =
                    ObjectStore(
                        read = real.read,
                        write = { path, value, expected ->
                            if (path == headPath(team) && !raced) {
                                raced = true
                                configuration.accept(change("other", basedOn = null))
                            }
                            real.write(path, value, expected)
                        },
                        list = real.list,
                        watch = real.watch,
                    )
                val loser = ConfigurationStore(racing).accept(change("mine", basedOn = null)).getError()
                assertIs<ConfigurationError.Superseded>(loser)
                assertEquals("other", configuration.newest(team).get()?.changeId)
            }
    }

    @Nested
    inner class `a store fault` {
        @Test
        fun `a change is accepted if the store only loses responses`() =
            runTest {
                memory.fault = StoreFault.ANSWER_LOST
                assertEquals(Revision(1), configuration.accept(change("a", basedOn = null)).get()?.revision)
            }

        @Test
        fun `a change has no effect and fails with StoreFailed while the store is down`() =
            runTest {
                memory.fault = StoreFault.DOWN
                assertIs<ConfigurationError.StoreFailed>(configuration.accept(change("a", basedOn = null)).getError())
                memory.fault = StoreFault.NONE
                assertEquals(null, configuration.newest(team).get())
            }
    }

    @Test
    fun `a change that reactivates a withdrawn key is forbidden`() =
        runTest {
            fun keys(withdrawn: Boolean) =
                Declaration(team, keys = listOf(KeyDeclaration(KeyId("k"), OrganisationId("o"), "00", withdrawn)))
            configuration.accept(change("a", basedOn = null, declaration = keys(withdrawn = true)))
            val stale = configuration.accept(change("b", basedOn = 1, declaration = keys(withdrawn = false)))
            assertIs<ConfigurationError.Forbidden>(stale.getError())
        }

    @Nested
    inner class `a node that adopts revisions` {
        private fun snapshot(revision: Long) = TeamSnapshot(Revision(revision), "c$revision", Declaration(team))

        @Test
        fun `a node adopts only higher revisions, in whatever order they arrive`() {
            val adopted = AdoptedConfiguration()
            val outcomes = listOf(3L, 1L, 3L, 4L, 2L).map { adopted.offer(snapshot(it)) }
            assertEquals(
                listOf(
                    AdoptionOutcome.ADOPTED,
                    AdoptionOutcome.OLD,
                    AdoptionOutcome.OLD,
                    AdoptionOutcome.ADOPTED,
                    AdoptionOutcome.OLD,
                ),
                outcomes,
            )
            assertEquals(Revision(4), adopted[team]?.revision)
        }

        @Test
        fun `a node keeps the last usable revision and reports a newer one that it can't use`() {
            val adopted =
                AdoptedConfiguration(findProblem = {
                    if (it.revision.value ==
                        2L
                    ) {
                        "needs a newer version"
                    } else {
                        null
                    }
                })
            adopted.offer(snapshot(1))
            assertEquals(AdoptionOutcome.UNUSABLE, adopted.offer(snapshot(2)))
            assertEquals(
                listOf(RevisionStatus(team, Revision(1), Revision(2), "needs a newer version")),
                adopted.status(),
            )
        }
    }
}
