/*
 * Clocks as function types. Terms and deadlines inside one process are counted on the monotonic clock;
 * the wall clock names usage windows and nothing else.
 */
package io.guavashore.api

import java.util.concurrent.TimeUnit

/** Returns milliseconds from an arbitrary origin; never goes back. */
typealias MonotonicClock = () -> Long

/** Returns milliseconds since the Unix epoch; may jump. */
typealias WallClock = () -> Long

/** The machine's monotonic clock. */
val systemMonotonicClock: MonotonicClock = { TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) }

/** The machine's wall clock. */
val systemWallClock: WallClock = { System.currentTimeMillis() }
