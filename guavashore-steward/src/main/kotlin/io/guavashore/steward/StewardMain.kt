/*
 * Binary of the control path.
 */
package io.guavashore.steward

import io.guavashore.process.processMain

fun main(args: Array<String>) = processMain("guavashore-steward", args) { Steward(it).run() }
