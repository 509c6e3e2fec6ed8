/*
 * Process start: reads the settings file, configures logging and runs the program.
 */
package io.guavashore.process

import com.github.michaelbull.result.getOrElse
import io.guavashore.metrics.configureLogs
import io.guavashore.settings.EXIT_SETTINGS
import io.guavashore.settings.LogFormat
import io.guavashore.settings.NodeSettings
import io.guavashore.settings.readNodeSettingsFile
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import kotlin.system.exitProcess

/** Version that all programs print for `--version`. */
const val VERSION = "0.1.0"

/**
 * Runs the program [name] with the settings file given in [args] until [run] returns. If the settings are invalid,
 * prints their errors to standard error and exits with [EXIT_SETTINGS].
 */
fun processMain(
    name: String,
    args: Array<String>,
    run: suspend (NodeSettings) -> Unit,
) {
    if (args.firstOrNull() == "--version") return println("$name $VERSION")
    val parser = ArgParser(name)
    val path by parser.option(ArgType.String, "settings", "s", "Settings file of this VM (TOML)").required()
    parser.parse(args)
    val settings =
        readNodeSettingsFile(path).getOrElse { message ->
            System.err.println(message)
            exitProcess(EXIT_SETTINGS)
        }
    configureLogs(json = settings.logFormat == LogFormat.JSON, level = settings.logLevel)
    runBlocking { run(settings) }
}
