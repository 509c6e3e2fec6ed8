/*
 * Reads the settings file when a process starts.
 */
package io.guavashore.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapError
import java.io.File

/** Exit code of a process whose settings are missing or invalid. */
const val EXIT_SETTINGS = 2

/** Reads the settings file at [path], or returns the error message for the operator. */
fun readNodeSettingsFile(path: String): Result<NodeSettings, String> {
    val file = File(path)
    if (!file.isFile) return Err("settings file $path does not exist; give --settings FILE")
    return readNodeSettings(file.readText()).mapError { errors -> errors.joinToString("\n") { "$path: $it" } }
}
