/*
 * Main function of the entry process, which serves callers and trainers.
 */
package io.guavashore.entry

import io.guavashore.process.processMain

fun main(args: Array<String>) = processMain("guavashore-entry", args) { Entry(it).run() }
