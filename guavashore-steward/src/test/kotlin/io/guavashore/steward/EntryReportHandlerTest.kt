package io.guavashore.steward

import io.guavashore.admission.Demand
import io.guavashore.api.Endpoint
import io.guavashore.api.Incarnation
import io.guavashore.api.OrganisationId
import io.guavashore.api.TeamId
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.api.systemMonotonicClock
import io.guavashore.membership.Fact
import io.guavashore.membership.FactTable
import io.guavashore.membership.FactVersion
import io.guavashore.membership.MemberRecord
import io.guavashore.usage.MergedUsage
import io.guavashore.wire.ControlMessage
import io.guavashore.wire.FactKeys
import io.guavashore.wire.SharedResources
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import java.net.ServerSocket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.measureTimedValue

class EntryReportHandlerTest {
    private val facts = FactTable()
    private val self = VmId("vm-2")
    private val frozenLeader = VmId("vm-1")

    private fun handler(
        selector: SelectorManager,
        leaderAddress: Endpoint,
    ): EntryReportHandler {
        val leader = MemberRecord(frozenLeader, ZoneId("az-1"), leaderAddress, leaderAddress, incarnation = 1)
        val context =
            EntryReportContext(
                self = self,
                zone = ZoneId("az-1"),
                leaderOf = { frozenLeader },
                findMember = { leader },
                usageBackup = { self },
                listedEntries = { emptyList() },
                isIsolated = { false },
                handleShareRequest = { ControlMessage.ShareReply(emptyMap()) },
            )
        return EntryReportHandler(context, facts, MergedUsage(), PeerClients(selector), systemMonotonicClock)
    }

    private fun report(vm: String) =
        ControlMessage.EntryReport(
            vm = VmId(vm),
            incarnation = Incarnation(1),
            knownFacts = emptyList(),
            demands = mapOf(SharedResources.requests(TeamId("demo"), OrganisationId("app")) to Demand(1, 1, 1)),
            inFlight = emptyMap(),
            usage = emptyList(),
            suspects = emptyList(),
        )

    @Test
    fun `a frozen leader of zone and fleet does not delay new facts beyond an entry's timeout`() {
        facts.offer(Fact(FactVersion("${FactKeys.CONFIGURATION}demo", term = 2, sequence = 0), "withdrawn"))
        // Connections are accepted by the operating system and never answered, as by a stopped process.
        ServerSocket(0).use { socket ->
            SelectorManager(Dispatchers.IO).use { selector ->
                val handler = handler(selector, Endpoint("127.0.0.1", socket.localPort))
                val (updates, duration) =
                    measureTimedValue {
                        runBlocking(Dispatchers.Default) {
                            (1..4).map { async { handler.handle(report("vm-$it")) } }.awaitAll()
                        }
                    }
                updates.forEach { assertEquals(listOf("withdrawn"), it.facts.map { fact -> fact.content }) }
                assertTrue(duration.inWholeMilliseconds < ENTRY_TIMEOUT_MS, "took $duration")
            }
        }
    }

    private companion object {
        /** Time after which an entry takes its report as failed and tries another steward. */
        const val ENTRY_TIMEOUT_MS = 1_500L
    }
}
