/*
 * Binary of the control path.
 */
package io.guavashore.steward

import com.github.michaelbull.result.getOrElse
import io.guavashore.metrics.configureLogs
import io.guavashore.settings.EXIT_SETTINGS
import io.guavashore.settings.LogFormat
import io.guavashore.settings.readNodeSettingsFile
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import kotlin.system.exitProcess

fun main(args: Array<String>) {
    val parser = ArgParser("guavashore-steward")
    val path by parser.option(ArgType.String, "settings", "s", "Settings file of this VM (TOML)").required()
    parser.parse(args)
    val settings =
        readNodeSettingsFile(path).getOrElse { message ->
            System.err.println(message)
            exitProcess(EXIT_SETTINGS)
        }
    configureLogs(json = settings.logFormat == LogFormat.JSON, level = settings.logLevel)
    runBlocking { Steward(settings).run() }
}
