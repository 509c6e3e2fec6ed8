/*
 * Options, output and exit codes that the commands share.
 */
package io.guavashore.ctl

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.guavashore.configuration.ConfigurationError
import io.guavashore.configuration.ConfigurationStore
import io.guavashore.platform.HttpPlatform
import io.guavashore.settings.SettingsError
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import kotlinx.cli.ArgType
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import java.io.File
import kotlin.system.exitProcess

/** Exit codes, as docs/OPERATIONS.md lists them. */
internal enum class ExitCode(
    val code: Int,
) {
    OK(0),
    FAILED(1),
    INVALID(2),
    CONFLICT(3),
    STORE(4),
    UNKNOWN_OUTCOME(5),
    NOT_IN_FORCE(6),
}

internal val prettyJson =
    Json {
        prettyPrint = true
        encodeDefaults = true
    }

/** Prints [message] to standard error and ends the process with [code]. */
internal fun fail(
    code: ExitCode,
    message: String,
): Nothing {
    System.err.println("guavashorectl: $message")
    exitProcess(code.code)
}

internal fun readFileOrFail(path: String): String {
    val file = File(path)
    if (!file.isFile) fail(ExitCode.INVALID, "$path does not exist; give the path of a declaration")
    return file.readText()
}

internal fun failWith(error: ConfigurationError): Nothing =
    when (error) {
        is ConfigurationError.Superseded, is ConfigurationError.Forbidden -> fail(ExitCode.CONFLICT, error.message)
        is ConfigurationError.NotFound -> fail(ExitCode.INVALID, error.message)
        is ConfigurationError.StoreFailed -> fail(ExitCode.STORE, error.message)
        is ConfigurationError.OutcomeUnknown -> fail(ExitCode.UNKNOWN_OUTCOME, error.message)
    }

/** Returns the value, or ends the process with the error's message and exit code. */
internal fun <T> Result<T, ConfigurationError>.orFail(): T = getOrElse { failWith(it) }

internal fun failWith(
    path: String,
    errors: List<SettingsError>,
): Nothing = fail(ExitCode.INVALID, errors.joinToString("\n") { "$path: $it" })

/** Base of the commands that access the platform's store. [client] is open while [run] runs. */
internal abstract class StoreCommand(
    name: String,
    description: String,
) : Subcommand(name, description) {
    private val storeUrl by option(
        ArgType.String,
        "store",
        description = "Base URL of the platform (or GUAVASHORE_STORE)",
    )
    protected val json by option(ArgType.Boolean, "json", description = "Print JSON").default(false)

    protected lateinit var client: HttpClient
        private set

    protected lateinit var platform: HttpPlatform
        private set

    protected val configuration by lazy { ConfigurationStore(platform.store) }

    final override fun execute() {
        val url = storeUrl ?: System.getenv("GUAVASHORE_STORE")
        if (url == null) fail(ExitCode.INVALID, "no store given; use --store URL or set GUAVASHORE_STORE")
        client = HttpClient(CIO) { expectSuccess = false }
        client.use {
            platform = HttpPlatform(it, url.trimEnd('/'))
            runBlocking { run() }
        }
    }

    protected abstract suspend fun run()

    /** Prints [jsonText] with `--json`, else [text]. */
    protected fun print(
        text: String,
        jsonText: () -> String,
    ) = println(if (json) jsonText() else text)
}
