/*
 * Binary of the data path.
 */
package io.guavashore.entry

import io.guavashore.process.processMain

fun main(args: Array<String>) = processMain("guavashore-entry", args) { Entry(it).run() }
