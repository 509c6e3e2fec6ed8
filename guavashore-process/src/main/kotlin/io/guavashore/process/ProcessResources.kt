/*
 * What every process opens at its start and closes at its end.
 */
package io.guavashore.process

import arrow.fx.coroutines.resourceScope
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.CIOEngineConfig
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel

/**
 * Resources of a process.
 *
 * @property scope runs its background work; one piece that fails does not end the others
 * @property selector serves its sockets
 * @property client calls the platform and targets; it follows no redirects and has no timeout of its own
 */
class ProcessResources internal constructor(
    val scope: CoroutineScope,
    val selector: SelectorManager,
    val client: HttpClient,
    val stop: StopSignal,
)

/** Runs [block] with open resources and closes them; the process is held until then, also after SIGTERM. */
suspend fun withProcessResources(
    configureClient: ConfigureClient = {},
    block: suspend (ProcessResources) -> Unit,
) = resourceScope {
    val stop = StopSignal()
    val scope = install({ CoroutineScope(SupervisorJob() + Dispatchers.Default) }) { opened, _ -> opened.cancel() }
    val selector = install({ SelectorManager(Dispatchers.IO) }) { opened, _ -> opened.close() }
    val client = install({ httpClient(configureClient) }) { opened, _ -> opened.close() }
    try {
        block(ProcessResources(scope, selector, client, stop))
    } finally {
        stop.finished()
    }
}

/** Sets connection limits and times of the HTTP client. */
typealias ConfigureClient = CIOEngineConfig.() -> Unit

private fun httpClient(configure: ConfigureClient) =
    HttpClient(CIO) {
        expectSuccess = false
        followRedirects = false
        engine {
            requestTimeout = 0
            configure()
        }
    }
