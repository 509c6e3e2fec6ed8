/*
 * Entry point of the steward, the process of the control plane.
 */
package io.guavashore.steward

import io.guavashore.process.processMain

fun main(args: Array<String>) = processMain("guavashore-steward", args) { Steward(it).run() }
