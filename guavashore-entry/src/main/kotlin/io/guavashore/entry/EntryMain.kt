/*
 * Binary of the data path.
 */
package io.guavashore.entry

import com.github.michaelbull.result.getOrElse
import io.guavashore.metrics.configureLogs
import io.guavashore.settings.LogFormat
import io.guavashore.settings.readNodeSettings
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import java.io.File
import kotlin.system.exitProcess

private const val EXIT_SETTINGS = 2

fun main(args: Array<String>) {
    val parser = ArgParser("guavashore-entry")
    val path by parser.option(ArgType.String, "settings", "s", "Settings file of this VM (TOML)").required()
    parser.parse(args)
    val text =
        File(path).takeIf { it.isFile }?.readText() ?: fail("settings file $path does not exist; give --settings FILE")
    val settings = readNodeSettings(text).getOrElse { faults -> fail(faults.joinToString("\n") { "$path: $it" }) }
    configureLogs(json = settings.logFormat == LogFormat.JSON, level = settings.logLevel)
    runBlocking { Entry(settings).run() }
}

private fun fail(message: String): Nothing {
    System.err.println(message)
    exitProcess(EXIT_SETTINGS)
}
