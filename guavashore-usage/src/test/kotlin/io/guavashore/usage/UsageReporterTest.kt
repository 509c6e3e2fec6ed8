package io.guavashore.usage

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import io.guavashore.api.CounterSource
import io.guavashore.api.FencingNumber
import io.guavashore.api.Incarnation
import io.guavashore.api.OrganisationId
import io.guavashore.api.TeamId
import io.guavashore.api.UsageAmount
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.leases.HeldLease
import io.guavashore.leases.LeaseHolder
import io.guavashore.leases.LeaseRecord
import io.guavashore.platform.PlatformError
import io.guavashore.platform.UsageReport
import io.guavashore.testing.InMemoryStore
import io.guavashore.testing.StoreFault
import io.guavashore.testing.VirtualClock
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class UsageReporterTest {
    private val team = TeamId("t")
    private val organisation = OrganisationId("o")
    private val schedule = UsageSchedule(team, windowMs = 60_000)
    private val clock = VirtualClock(nowMs = 600_000)
    private val memory = InMemoryStore()
    private val mergedUsage = MergedUsage()
    private val writer = ZoneUsageWriter(ZoneId("a"), mergedUsage, memory.asStore, clock)
    private val ledger = UsageLedger(CounterSource(VmId("vm-1"), Incarnation(1)), clock)
    private val received = mutableListOf<UsageReport>()
    private var responseLost = false

    private fun reporter(fencing: Long = 1) =
        UsageReporter(
            store = memory.asStore,
            send = { report ->
                received += report
                if (responseLost) Err(PlatformError.Unavailable("response lost")) else Ok(Unit)
            },
            held = {
                val holder = LeaseHolder(VmId("vm-$fencing"), Incarnation(1))
                val number = FencingNumber(fencing)
                HeldLease(number, untilMs = clock() + 8_000, record = LeaseRecord(holder, number, renewal = 1))
            },
            wallClock = clock,
            clock = clock,
        )

    private suspend fun addUsage(tokens: Long) {
        ledger.add(team, organisation, schedule.windowMs, UsageAmount(requests = 1, tokens = tokens))
        mergedUsage.merge(ledger.counters())
        writer.write()
    }

    /** Tokens in the amounts and adjustments of all distinct windows received. */
    private fun billedTokens() =
        received
            .associateBy { it.windowStartMs }
            .values
            .sumOf { report -> report.lines.sumOf { it.amount.tokens + it.adjustment.tokens } }

    private fun assertSameLinesPerWindow() =
        received.groupBy { it.windowStartMs }.forEach { (start, reports) ->
            assertEquals(1, reports.map { it.lines }.distinct().size, "window $start")
        }

    @Test
    fun `a window is reported once, after its end and the grace time`() =
        runTest {
            addUsage(tokens = 10)
            val reporter = reporter()
            repeat(20) {
                clock.advanceMs(5_000)
                reporter.step(listOf(schedule))
            }
            assertEquals(
                listOf(10L),
                received.map {
                    it.lines
                        .single()
                        .amount.tokens
                },
            )
        }

    @Nested
    inner class `an outage of the receiver of reports` {
        @Test
        fun `an outage of the receiver longer than the retention of counters loses no usage`() =
            runTest {
                responseLost = true
                val reporter = reporter()
                repeat(40) {
                    addUsage(tokens = 10)
                    clock.advanceMs(30_000)
                    reporter.step(listOf(schedule))
                }
                responseLost = false
                repeat(60) {
                    clock.advanceMs(5_000)
                    reporter.step(listOf(schedule))
                }
                assertEquals(400, billedTokens())
                assertSameLinesPerWindow()
            }
    }

    @Nested
    inner class `late usage` {
        @Test
        fun `late usage is reported once, as an adjustment in a later window`() =
            runTest {
                addUsage(tokens = 10)
                clock.advanceMs(75_000)
                val reporter = reporter()
                repeat(2) { reporter.step(listOf(schedule)) }
                val late = CounterSource(VmId("vm-2"), Incarnation(1))
                val counter =
                    ledger.counters().single().copy(
                        source = late,
                        amount = UsageAmount(requests = 1, tokens = 7),
                    )
                mergedUsage.merge(listOf(counter))
                writer.write()
                repeat(40) {
                    clock.advanceMs(5_000)
                    reporter.step(listOf(schedule))
                }
                assertEquals(17, billedTokens())
                assertEquals(
                    7,
                    received
                        .last()
                        .lines
                        .single()
                        .adjustment.tokens,
                )
                assertSameLinesPerWindow()
            }
    }

    @Nested
    inner class `two reporters that both assume to hold the lease` {
        @Test
        fun `two reporters with the lease never send different lines for a window, under random faults`() =
            runTest {
                val random = Random(5)
                val reporters = listOf(reporter(1), reporter(2))
                repeat(600) {
                    if (random.nextInt(3) == 0) addUsage(tokens = random.nextLong(1, 50))
                    responseLost = random.nextInt(4) == 0
                    memory.fault = if (random.nextInt(6) == 0) StoreFault.entries.random(random) else StoreFault.NONE
                    memory.slowMs = 0
                    reporters.random(random).step(listOf(schedule))
                    clock.advanceMs(random.nextLong(100, 4_000))
                }
                memory.fault = StoreFault.NONE
                responseLost = false
                writer.write()
                repeat(80) {
                    clock.advanceMs(5_000)
                    reporters.random(random).step(listOf(schedule))
                }
                assertSameLinesPerWindow()
                assertTrue(received.size > 10)
            }
    }
}
