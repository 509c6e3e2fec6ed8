/*
 * Supervision of tasks that must run as long as their process or term, even after an unexpected failure.
 */
package io.guavashore.edge.process

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

private val log = KotlinLogging.logger {}

/**
 * Launches [task] in this scope. If it fails unexpectedly, the failure is logged and [task] restarts after a delay.
 * That includes errors of the JVM such as an exhausted stack: without its tasks, the process would stay ready and do
 * nothing.
 */
internal fun CoroutineScope.launchWithRestart(
    name: String,
    task: suspend () -> Unit,
): Job =
    launch {
        while (true) {
            try {
                return@launch task()
            } catch (e: CancellationException) {
                throw e
            } catch (e: Throwable) {
                log.error(e) { "task failed unexpectedly, restarting: work=$name in_ms=$RESTART_DELAY_MS" }
            }
            delay(RESTART_DELAY_MS)
        }
    }

/** Long enough not to flood the log, and much shorter than the duration of a lease. */
private const val RESTART_DELAY_MS = 300L
