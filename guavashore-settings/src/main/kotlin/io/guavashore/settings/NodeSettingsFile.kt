/*
 * Settings file of a process, read at its start.
 */
package io.guavashore.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapError
import java.io.File

/** Exit code of a process whose settings can't be used. */
const val EXIT_SETTINGS = 2

/** Reads the settings file at [path], or returns what to tell the operator. */
fun readNodeSettingsFile(path: String): Result<NodeSettings, String> {
    val file = File(path)
    if (!file.isFile) return Err("settings file $path does not exist; give --settings FILE")
    return readNodeSettings(file.readText()).mapError { faults -> faults.joinToString("\n") { "$path: $it" } }
}
