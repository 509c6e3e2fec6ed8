package io.guavashore.calls

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.guavashore.admission.WorkClass
import io.guavashore.api.AttemptId
import io.guavashore.api.Endpoint
import io.guavashore.api.GenerateRequest
import io.guavashore.api.OrganisationId
import io.guavashore.api.RefusalKind
import io.guavashore.api.Target
import io.guavashore.api.TargetId
import io.guavashore.api.TokenSpan
import io.guavashore.api.WeightVersion
import io.guavashore.api.ZoneId
import io.guavashore.routing.RequestFingerprint
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

@OptIn(ExperimentalCoroutinesApi::class)
class CallRunnerTest {
    private val zone = ZoneId("a")
    private val org = OrganisationId("o")
    private val downTargets = mutableSetOf<TargetId>()
    private val runs = mutableListOf<TargetId>()

    private fun target(
        id: String,
        slots: Int = 4,
    ) = targetAt(Endpoint("127.0.0.1", 1), id, zone, slots)

    private fun TestScope.dispatcher(vararg targets: Target) =
        SlotDispatcher(zone, clock = { currentTime }).apply { update(targets.map { TargetShare(it, it.slots) }) }

    private fun TestScope.runner(
        dispatcher: SlotDispatcher,
        guard: SuspectGuard = SuspectGuard(clock = { currentTime }),
    ) = CallRunner(dispatcher, guard, isUp = { it.id !in downTargets })

    private fun plan(
        idempotent: Boolean = true,
        deadlineMs: Long = 10_000,
        body: String = "body",
        cost: Long = 1,
    ) = CallPlan(
        SlotRequest(org, WorkClass.PUBLIC, cost, deadlineMs),
        RequestFingerprint.of(org, body.toByteArray()),
        idempotent,
    )

    private fun failing(failurePoint: FailurePoint): RunAttempt<String> =
        { target ->
            runs += target.id
            throw TargetFailure(failurePoint, "test")
        }

    @Nested
    inner class `a failing target` {
        @Test
        fun `an idempotent call that fails on one target is retried on another`() =
            runTest {
                val runner = runner(dispatcher(target("bad"), target("good")))
                val response =
                    runner.run(plan()) { target ->
                        runs += target.id
                        if (target.id == TargetId("bad")) throw TargetFailure(FailurePoint.SENT, "test")
                        "response"
                    }
                assertEquals("response", response.get())
            }

        @Test
        fun `a non-idempotent call runs once and is refused with an unknown outcome`() =
            runTest {
                val runner = runner(dispatcher(target("a"), target("b")))
                val refusal = runner.run(plan(idempotent = false), attempt = failing(FailurePoint.SENT)).getError()
                assertEquals(RefusalKind.OUTCOME_UNKNOWN to false, refusal?.kind to refusal?.notRun)
                assertEquals(1, runs.size)
            }
    }

    @Nested
    inner class `a poison request` {
        @Test
        fun `a poison request crashes at most two targets, and a request running beside it still succeeds`() =
            runTest {
                val dispatcher = dispatcher(*(1..6).map { target("t$it") }.toTypedArray())
                val guard = SuspectGuard(clock = { currentTime })
                val runner = runner(dispatcher, guard)
                repeat(5) {
                    runner.run(plan(body = "poison")) { target ->
                        downTargets += target.id
                        throw TargetFailure(FailurePoint.ANSWERING, "crash")
                    }
                }
                assertEquals(2, downTargets.size)
                assertEquals(RefusalKind.POISON, runner.run(plan(body = "poison")) { "never" }.getError()?.kind)
                val neighbour = RequestFingerprint.of(org, "neighbour".toByteArray())
                guard.recordCrash(TargetId("t1"), neighbour)
                assertEquals("fine", runner.run(plan(body = "neighbour")) { "fine" }.get())
            }
    }

    @Nested
    inner class `work that was accepted for later` {
        private val owed = plan(body = "sample", deadlineMs = 1_000_000).copy(isOwed = true)

        @Test
        fun `a sound item under which targets crashed in a burst is placed again once they are calm`() =
            runTest {
                val runner = runner(dispatcher(*(1..6).map { target("t$it") }.toTypedArray()))
                repeat(4) {
                    runner.run(owed) { target ->
                        downTargets += target.id
                        throw TargetFailure(FailurePoint.ANSWERING, "crash")
                    }
                }
                downTargets.clear()
                assertEquals("text", runner.run(owed) { "text" }.get())
            }

        @Test
        fun `an item that crashes all its targets reaches them alone and ever more seldom`() =
            runTest {
                val dispatcher = dispatcher(*(1..6).map { target("t$it") }.toTypedArray())
                val runner = runner(dispatcher)
                val startedMs = mutableListOf<Long>()
                repeat(12) {
                    runner.run(owed) { target ->
                        startedMs += currentTime
                        assertEquals(1, dispatcher.inFlight()[target.id])
                        downTargets += target.id
                        throw TargetFailure(FailurePoint.ANSWERING, "crash")
                    }
                }
                assertTrue(startedMs.size >= 12, "runs $startedMs")
                val pausesMs = startedMs.zipWithNext { a, b -> b - a }
                assertEquals(pausesMs.sorted(), pausesMs, "pauses never shrink")
                assertTrue(pausesMs.last() >= 1_000, "pauses $pausesMs")
            }
    }

    @Nested
    inner class `slots` {
        @Test
        fun `slots in use never exceed the limit and are released when a call is cancelled`() =
            runTest {
                val dispatcher = dispatcher(target("a", slots = 2))
                val runner = runner(dispatcher)
                val calls = List(3) { launch { runner.run(plan()) { awaitCancellation() } } }
                runCurrent()
                assertEquals(mapOf(TargetId("a") to 2), dispatcher.inFlight())
                assertEquals(1, dispatcher.waiting())
                calls.forEach { it.cancel() }
                runCurrent()
                assertEquals(emptyMap(), dispatcher.inFlight())
                assertEquals(0, dispatcher.waiting())
            }

        @Test
        fun `a call that gets no slot by its deadline is refused as not run with a retry time`() =
            runTest {
                val dispatcher = dispatcher(target("a", slots = 1))
                val runner = runner(dispatcher)
                val holder = launch { runner.run(plan()) { awaitCancellation() } }
                runCurrent()
                val refusal = async { runner.run(plan(deadlineMs = currentTime + 500)) { "never" }.getError() }.await()
                assertEquals(RefusalKind.NO_CAPACITY to true, refusal?.kind to refusal?.notRun)
                assertTrue((refusal?.retryAfterMs ?: 0) > 0)
                holder.cancel()
            }

        @Test
        fun `a call to a pool without targets is refused immediately`() =
            runTest {
                val refusal = runner(dispatcher()).run(plan()) { "never" }.getError()
                assertEquals(RefusalKind.NO_CAPACITY, refusal?.kind)
                assertEquals(0, currentTime)
            }
    }

    @Nested
    inner class `a generation whose target fails` {
        @Test
        fun `a generation resumes on another target after its tokens, with a span per version`() =
            runTest {
                var attempts = 0
                val runner =
                    GenerationRunner(
                        runner(dispatcher(target("a"), target("b"))),
                        engine = { call ->
                            flow {
                                attempts++
                                emit(
                                    TokenChunk(
                                        call.produced.size,
                                        listOf(call.produced.size),
                                        WeightVersion(attempts.toLong()),
                                    ),
                                )
                                if (attempts == 1) throw TargetFailure(FailurePoint.ANSWERING, "died")
                            }
                        },
                        newAttemptId = { AttemptId("x") },
                        clock = { currentTime },
                    )
                val generation = runner.run(plan(), GenerateRequest(listOf(1), maxTokens = 2)).get()
                assertEquals(listOf(0, 1), generation?.tokens)
                assertEquals(listOf(TokenSpan(WeightVersion(1), 1), TokenSpan(WeightVersion(2), 1)), generation?.spans)
            }
    }
}
