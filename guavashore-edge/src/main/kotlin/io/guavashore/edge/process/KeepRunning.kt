/*
 * Work that must go on for as long as its process or its term does, whatever happens in one of its rounds.
 */
package io.guavashore.edge.process

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

private val log = KotlinLogging.logger {}

/** Runs [work] in this scope; if it fails unexpectedly, that is logged and it begins again after a pause. */
internal fun CoroutineScope.keepRunning(
    name: String,
    work: suspend () -> Unit,
): Job =
    launch {
        while (true) {
            try {
                return@launch work()
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                log.error(e) { "work failed unexpectedly, it begins again: work=$name in_ms=$RESTART_PAUSE_MS" }
            }
            delay(RESTART_PAUSE_MS)
        }
    }

/** Long enough not to fill the log, short enough for a term of a lease. */
private const val RESTART_PAUSE_MS = 300L
