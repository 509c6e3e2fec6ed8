package io.guavashore.samples

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.guavashore.api.Generation
import io.guavashore.api.GroupId
import io.guavashore.api.SampleId
import io.guavashore.api.StepId
import io.guavashore.api.TokenSpan
import io.guavashore.api.TrainerId
import io.guavashore.api.WeightVersion
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

class StepStateTest {
    private fun request(
        groups: Int = 2,
        samples: Int = 2,
        epoch: Long = 1,
        received: Set<GroupId> = emptySet(),
    ) = StepRequest(
        step = StepId("s"),
        ownerEpoch = epoch,
        deadlineMs = 0,
        statedVersion = WeightVersion(1),
        groups = List(groups) { GroupRequest(GroupId("g$it"), listOf(it + 1), samples, maxTokens = 4) },
        received = received,
    )

    private fun step(request: StepRequest = request()) =
        StepState(TrainerId("t"), request, maxStalenessVersions = 2, nowMs = 0)

    private fun generation(version: Long) = Generation(listOf(1, 2), listOf(TokenSpan(WeightVersion(version), 2)))

    private fun StepState.finishAll(version: Long = 1) {
        generateSequence { nextWork(nowMs = 0) }.toList().forEach {
            generated(it.sample, generation(version), nowMs = 10)
            scored(it.sample, 0.5)
        }
    }

    private fun pull(
        version: Long = 1,
        received: Set<GroupId> = emptySet(),
        epoch: Long = 1,
    ) = PullRequest(epoch, WeightVersion(version), received)

    @Nested
    inner class `delivery` {
        @Test
        fun `only complete groups are delivered, and they are kept until acknowledged as received`() {
            val step = step()
            val work = List(3) { step.nextWork(nowMs = 0)!! }
            work.forEach {
                step.generated(it.sample, generation(1), nowMs = 5)
                step.scored(it.sample, 1.0)
            }
            repeat(2) {
                assertEquals(
                    listOf("g0"),
                    step
                        .pull(pull(), 6)
                        .get()
                        ?.groups
                        ?.map { it.id.value },
                )
            }
            assertEquals(emptyList(), step.pull(pull(received = setOf(GroupId("g0"))), 7).get()?.groups)
            step.finishAll()
            step.pull(pull(received = setOf(GroupId("g0"))), 8)
            assertTrue(step.pull(pull(received = setOf(GroupId("g0"), GroupId("g1"))), 9).get()!!.complete)
        }

        @Test
        fun `each group is counted once, at its first delivery`() {
            val step = step().apply { finishAll() }
            repeat(2) { step.pull(pull(), 1) }
            assertEquals(DeliveredAmount(samples = 4, tokens = 8), step.takeDelivered())
            step.pull(pull(received = setOf(GroupId("g0"))), 2)
            assertEquals(DeliveredAmount(), step.takeDelivered())
        }

        @Test
        fun `after a change of owner only the groups that the trainer has not received are started`() {
            val step = step(request(epoch = 2, received = setOf(GroupId("g0"))))
            val started = generateSequence { step.nextWork(0) }.map { it.group.value }.toSet()
            assertEquals(setOf("g1"), started)
        }

        @Test
        fun `a pull or submission with an older owner epoch is refused`() {
            val step = step(request(epoch = 5))
            assertEquals(StepError.OldEpoch(5), step.pull(pull(epoch = 4), 0).getError())
            step.pull(pull(epoch = 7), 0)
            assertEquals(StepError.OldEpoch(7), step.resubmit(request(epoch = 6), 0).getError())
        }

        @Test
        fun `submitting a step again with different content is refused`() {
            assertIs<StepError.DifferentContent>(step().resubmit(request(groups = 3), 0).getError())
        }
    }

    @Nested
    inner class `staleness` {
        @Test
        fun `staleness is determined by the oldest span and the version stated at delivery`() {
            val step = step(request(groups = 1, samples = 1))
            val work = step.nextWork(0)!!
            val mixed = Generation(listOf(1, 2), listOf(TokenSpan(WeightVersion(1), 1), TokenSpan(WeightVersion(9), 1)))
            step.generated(work.sample, mixed, nowMs = 1)
            step.scored(work.sample, 1.0)
            assertEquals(
                1,
                step
                    .pull(pull(version = 3), 2)
                    .get()
                    ?.groups
                    ?.size,
            )
            assertEquals(
                0,
                step
                    .pull(pull(version = 4), 3)
                    .get()
                    ?.groups
                    ?.size,
            )
            assertEquals(work.sample, step.nextWork(4)?.sample)
            assertEquals(1, step.status(4).droppedStale)
        }
    }

    @Nested
    inner class `weight version labels` {
        @Test
        fun `a sample whose version labels do not cover every token is dropped and generated again`() {
            val step = step(request(groups = 1, samples = 1))
            val work = step.nextWork(0)!!
            val short = Generation(listOf(1, 2), listOf(TokenSpan(WeightVersion(1), 1)))
            assertFalse(step.generated(work.sample, short, nowMs = 1))
            assertEquals(work.sample, step.nextWork(2)?.sample)
        }
    }

    @Nested
    inner class `a straggler` {
        @Test
        fun `a straggler is run twice near the end of a step, and only its first result counts`() {
            val step = step(request(groups = 1, samples = 4))
            val work = List(4) { step.nextWork(0)!! }
            work.take(3).forEach { step.generated(it.sample, generation(1), nowMs = 100) }
            assertNull(step.nextWork(nowMs = 150))
            val second = step.nextWork(nowMs = 200)!!
            assertEquals(work[3].sample to true, second.sample to second.duplicate)
            assertTrue(step.generated(second.sample, generation(1), nowMs = 250))
            assertFalse(step.generated(work[3].sample, generation(1), nowMs = 260))
            assertEquals(2, step.status(300).wastedTokens)
        }
    }

    /**
     * Combines failing owners, pulls that are repeated or whose response is lost, failed attempts, duplicates and new
     * weight versions.
     */
    @Test
    fun `every sample is delivered exactly once and fresh on random schedules`() {
        repeat(400) { seed -> runSchedule(seed) }
    }

    private fun runSchedule(seed: Int) {
        val random = Random(seed)
        var version = 1L
        var epoch = 1L
        var nowMs = 0L
        val received = LinkedHashMap<GroupId, SampleGroup>()
        val owners = mutableListOf(step(request(groups = 6, samples = 3)))
        val running = mutableListOf<Pair<StepState, SampleId>>()
        var rounds = 0
        while (received.size < 6) {
            check(rounds++ < 20_000) { "seed $seed: the step was never complete" }
            nowMs += random.nextLong(1, 20)
            if (random.nextInt(100) == 0) version++
            if (random.nextInt(120) == 0) {
                epoch++
                owners += step(request(groups = 6, samples = 3, epoch = epoch, received = received.keys.toSet()))
            }
            val owner = owners.random(random)
            repeat(3) { owner.nextWork(nowMs)?.let { running += owner to it.sample } }
            if (running.isNotEmpty()) {
                val (state, sample) = running.removeAt(random.nextInt(running.size))
                val outcome = if (random.nextInt(8) == 0) null else generation(version)
                state.generated(sample, outcome, nowMs)
                repeat(random.nextInt(3)) { state.scored(sample, 1.0) }
                if (random.nextInt(4) > 0) state.scored(sample, 1.0)
            }
            val request = pull(version, received.keys.toSet(), epoch).copy(maxGroups = random.nextInt(1, 4))
            val responses = List(random.nextInt(1, 3)) { owners.last().pull(request, nowMs).get() }
            if (random.nextInt(4) == 0) continue
            responses.first()?.groups.orEmpty().forEach { group ->
                val samples = group.samples
                assertEquals(3, samples.map { it.id }.toSet().size, "seed $seed")
                assertTrue(samples.all { s -> s.spans.all { it.version.value >= version - 2 } }, "seed $seed: stale")
                assertNull(received.put(group.id, group), "seed $seed: ${group.id} delivered twice")
            }
        }
    }
}
