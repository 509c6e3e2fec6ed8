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
    fun `revisions count up and the newest is read back`() =
        runTest {
            configuration.accept(change("a", basedOn = null))
            configuration.accept(change("b", basedOn = 1))
            assertEquals(Revision(2), configuration.newest(team).get()?.revision)
        }

    @Nested
    inner class `operators that race` {
        @Test
        fun `one wins and the other is told the revision in force`() =
            runTest {
                configuration.accept(change("a", basedOn = null))
                configuration.accept(change("b", basedOn = 1))
                val late = configuration.accept(change("c", basedOn = 1)).getError()
                assertEquals(ConfigurationError.Superseded(Revision(2)), late)
            }

        @Test
        fun `between read and write are settled by the conditional update`() =
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
    inner class `an outage` {
        @Test
        fun `whose answers alone are lost still lets the change be accepted`() =
            runTest {
                memory.fault = StoreFault.ANSWER_LOST
                assertEquals(Revision(1), configuration.accept(change("a", basedOn = null)).get()?.revision)
            }

        @Test
        fun `changes nothing and says so`() =
            runTest {
                memory.fault = StoreFault.DOWN
                assertIs<ConfigurationError.StoreFailed>(configuration.accept(change("a", basedOn = null)).getError())
                memory.fault = StoreFault.NONE
                assertEquals(null, configuration.newest(team).get())
            }
    }

    @Test
    fun `an old file can't bring back a withdrawn key`() =
        runTest {
            fun keys(withdrawn: Boolean) =
                Declaration(team, keys = listOf(KeyDeclaration(KeyId("k"), OrganisationId("o"), "00", withdrawn)))
            configuration.accept(change("a", basedOn = null, declaration = keys(withdrawn = true)))
            val stale = configuration.accept(change("b", basedOn = 1, declaration = keys(withdrawn = false)))
            assertIs<ConfigurationError.Forbidden>(stale.getError())
        }

    @Nested
    inner class `a node` {
        private fun snapshot(revision: Long) = TeamSnapshot(Revision(revision), "c$revision", Declaration(team))

        @Test
        fun `adopts only higher revisions, in whatever order they come`() {
            val adopted = AdoptedConfiguration()
            val outcomes = listOf(3L, 1L, 3L, 4L, 2L).map { adopted.offer(snapshot(it)) }
            assertEquals(
                listOf(Adoption.ADOPTED, Adoption.OLD, Adoption.OLD, Adoption.ADOPTED, Adoption.OLD),
                outcomes,
            )
            assertEquals(Revision(4), adopted[team]?.revision)
        }

        @Test
        fun `keeps the last usable revision and names the one it could not use`() {
            val adopted =
                AdoptedConfiguration(usable = {
                    if (it.revision.value ==
                        2L
                    ) {
                        "needs a newer version"
                    } else {
                        null
                    }
                })
            adopted.offer(snapshot(1))
            assertEquals(Adoption.UNUSABLE, adopted.offer(snapshot(2)))
            assertEquals(
                listOf(RevisionStatus(team, Revision(1), Revision(2), "needs a newer version")),
                adopted.status(),
            )
        }
    }
}
