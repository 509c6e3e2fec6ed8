/*
 * Path from one VM to a store, with random disturbances: refusals, silence, responses that never come, and suspensions
 * of the VM.
 */
package io.guavashore.edge.batches

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.guavashore.platform.StoreCall
import io.guavashore.platform.StoreCallError
import io.guavashore.platform.StoreResponse
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random

/**
 * Calls [store] at virtual time [now], in milliseconds.
 *
 * @param isOverLimit whether the store refuses a call because of its rate limit, which counts as no disturbance
 */
internal class DisturbedLink(
    private val store: VersionedStore,
    private val random: Random,
    private val isOverLimit: (StoreCall) -> Boolean = { false },
    private val now: () -> Long,
) {
    enum class State {
        SOUND,

        /** The store states that it is unavailable. */
        REFUSED,

        /** No connection can be opened. */
        NOT_CONNECTED,
        SILENT,
        LOSSY,
    }

    private var state = State.SOUND

    /** Changes when all open connections become silent. */
    private var connections = 0
    private var frozenForMs = 0L
    private var frozenSinceMs: Long? = null

    /** Virtual time of the end of the last disturbance; the present while there is one. */
    var lastDisturbedMs = -FAR_MS
        get() = if (state != State.SOUND || frozenSinceMs != null) now() else field
        private set

    val isFrozen: Boolean get() = frozenSinceMs != null

    /** Monotonic time of the VM, which stands still while the VM is suspended. */
    fun clockMs(): Long = (frozenSinceMs ?: now()) - frozenForMs

    /** Disturbs the path and the VM until cancelled. */
    suspend fun disturb() {
        while (true) {
            delay(random.nextLong(MAX_CALM_MS))
            val durationMs = random.nextLong(MAX_DISTURBANCE_MS)
            when (random.nextInt(DISTURBANCES)) {
                0 -> during(listOf(State.REFUSED, State.NOT_CONNECTED).random(random), durationMs)
                1 -> during(State.SILENT, durationMs)
                2 -> during(State.LOSSY, durationMs)
                3 -> connections++
                else -> freeze(durationMs)
            }
            lastDisturbedMs = now()
        }
    }

    /** Keeps the path in state [disturbance] for [durationMs]. */
    suspend fun during(
        disturbance: State,
        durationMs: Long,
    ) {
        state = disturbance
        delay(durationMs)
        state = State.SOUND
        lastDisturbedMs = now()
    }

    /** Suspends the VM for [durationMs]. */
    suspend fun freeze(durationMs: Long) {
        frozenSinceMs = now()
        delay(durationMs)
        frozenForMs += durationMs
        frozenSinceMs = null
        lastDisturbedMs = now()
    }

    /** Makes a call; without a response it fails after [timeoutMs]. */
    suspend fun call(
        call: StoreCall,
        timeoutMs: Long,
    ): Result<StoreResponse, StoreCallError> {
        val outcome = withTimeoutOrNull(timeoutMs) { exchange(call) }
        while (isFrozen) delay(FREEZE_POLL_MS)
        return outcome ?: Err(StoreCallError.Unknown("no response"))
    }

    private suspend fun exchange(call: StoreCall): Result<StoreResponse, StoreCallError> {
        val connection = connections
        delay(random.nextLong(1, MAX_DELAY_MS))
        if (state == State.REFUSED) return Err(StoreCallError.NotDone("status 503", isUnavailable = true))
        if (state == State.NOT_CONNECTED) return Err(StoreCallError.NotDone("connection refused"))
        if (state == State.SILENT) awaitCancellation()
        if (isOverLimit(call)) return Err(StoreCallError.NotDone("status 429"))
        if (call is StoreCall.Watch && random.nextInt(HISTORY_LOSSES) == 0) return Err(StoreCallError.HistoryGone)
        val response = store.call(call)
        delay(random.nextLong(1, MAX_DELAY_MS))
        val isLost = state == State.SILENT || (state == State.LOSSY && random.nextBoolean())
        if (isLost || connection != connections) awaitCancellation()
        return response
    }

    private companion object {
        const val FAR_MS = 1_000_000L
        const val DISTURBANCES = 5
        const val MAX_CALM_MS = 5_000L
        const val MAX_DISTURBANCE_MS = 6_000L
        const val MAX_DELAY_MS = 20L
        const val FREEZE_POLL_MS = 10L

        /** One watch in this many finds that the store has discarded its history. */
        const val HISTORY_LOSSES = 40
    }
}
