/*
 * Clocks as function types. Lease durations and deadlines within a process use the monotonic clock;
 * the wall clock only identifies usage windows.
 */
package io.guavashore.api

import java.util.concurrent.TimeUnit

/** Returns milliseconds since an arbitrary origin; never goes backwards. */
typealias MonotonicClock = () -> Long

/** Returns milliseconds since the Unix epoch; may jump. */
typealias WallClock = () -> Long

/** The machine's monotonic clock. */
val systemMonotonicClock: MonotonicClock = { TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) }

/** The machine's wall clock. */
val systemWallClock: WallClock = { System.currentTimeMillis() }
