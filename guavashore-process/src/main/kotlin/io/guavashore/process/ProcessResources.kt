/*
 * Resources that every process opens at its start and closes before it exits.
 */
package io.guavashore.process

import arrow.fx.coroutines.resourceScope
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel

/**
 * Resources of a process.
 *
 * @property scope scope of the background tasks; a failed task does not cancel the others
 * @property selector selector of all sockets
 * @property client HTTP client for the platform; follows no redirects and sets no request timeout
 * @property stop signals SIGTERM
 */
class ProcessResources internal constructor(
    val scope: CoroutineScope,
    val selector: SelectorManager,
    val client: HttpClient,
    val stop: StopSignal,
)

/** Opens the resources, runs [block] and closes them. After SIGTERM the process exits only once this is done. */
suspend fun withProcessResources(block: suspend (ProcessResources) -> Unit) =
    resourceScope {
        val stop = StopSignal()
        val scope = install({ CoroutineScope(SupervisorJob() + Dispatchers.Default) }) { opened, _ -> opened.cancel() }
        val selector = install({ SelectorManager(Dispatchers.IO) }) { opened, _ -> opened.close() }
        val client = install({ httpClient() }) { opened, _ -> opened.close() }
        try {
            block(ProcessResources(scope, selector, client, stop))
        } finally {
            stop.allowExit()
        }
    }

private fun httpClient() =
    HttpClient(CIO) {
        expectSuccess = false
        followRedirects = false
        engine { requestTimeout = 0 }
    }
