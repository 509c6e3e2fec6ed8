/*
 * SIGTERM as a signal that coroutines can await.
 */
package io.guavashore.process

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.runBlocking

/**
 * Delays the process's exit after SIGTERM until [allowExit] is called. Create it before any HTTP server: Ktor's own
 * shutdown hooks would close open connections at once, and are disabled here.
 */
class StopSignal {
    private val stopRequested = CompletableDeferred<Unit>()
    private val exitAllowed = CompletableDeferred<Unit>()

    init {
        System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
        Runtime.getRuntime().addShutdownHook(Thread(::blockUntilExitAllowed))
    }

    /** Suspends until SIGTERM. */
    suspend fun await() = stopRequested.await()

    /** Lets the process exit. */
    fun allowExit() {
        exitAllowed.complete(Unit)
    }

    private fun blockUntilExitAllowed() {
        stopRequested.complete(Unit)
        runBlocking { exitAllowed.await() }
    }
}
