/*
 * Command line of the stand-ins: `platform` serves the platform and runs its targets, `demo` runs the demonstration
 * and `load` measures an entry.
 */
package io.guavashore.standin

import io.guavashore.api.Endpoint
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.metrics.configureLogs
import io.guavashore.platform.VmRow
import io.guavashore.platform.VmState
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.runBlocking
import kotlin.system.exitProcess

private class PlatformCommand : Subcommand("platform", "Serve the stand-in platform and run its targets") {
    private val port by option(ArgType.Int, "port", description = "Port on 127.0.0.1").required()
    private val vms by option(
        ArgType.String,
        "vms",
        description = "VMs as NAME@ZONE@IP:PORT of the steward, comma-separated",
    ).required()
    private val slots by option(
        ArgType.Int,
        "slots",
        description = "Max sequences that an engine runs concurrently",
    ).default(SLOTS)
    private val tickMs by option(ArgType.Int, "tick-ms", description = "Time per token in ms").default(TICK_MS)

    override fun execute() {
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        val fleet = StandinFleet(scope, EngineConfig(tickMs = tickMs.toLong(), slots = slots))
        StandinPlatform(port, fleet, vms.split(',').map(::parseVm)).start()
        Thread.currentThread().join()
    }

    private fun parseVm(text: String): VmRow {
        val (vm, zone, control) = text.split('@')
        val endpoint =
            requireNotNull(Endpoint.parseOrNull(control)) {
                "invalid steward address '$control' in --vms: expected IP:PORT"
            }
        return VmRow(VmId(vm), ZoneId(zone), endpoint, VmState.LIVE)
    }

    private companion object {
        const val TICK_MS = 10
        const val SLOTS = 16
    }
}

private class DemoCommand : Subcommand("demo", "Run calls and a step through the entries and check every response") {
    private val entries by option(ArgType.String, "entries", description = "Entry URLs, comma-separated").required()
    private val operations by option(
        ArgType.String,
        "operations",
        description = "Operations URLs of the entries, comma-separated",
    ).required()
    private val platform by option(ArgType.String, "platform", description = "URL of the stand-in platform").required()
    private val killPid by option(
        ArgType.Int,
        "kill-pid",
        description = "Process ID of the first entry, killed after half of the step",
    )
    private val groups by option(ArgType.Int, "groups", description = "Number of groups in the step").default(GROUPS)

    override fun execute() {
        val setup = DemoSetup(entries.split(','), operations.split(','), platform, killPid?.toLong(), groups)
        val passed = runBlocking(Dispatchers.Default) { DemoDriver(setup).run() }
        exitProcess(if (passed) 0 else 1)
    }

    private companion object {
        const val GROUPS = 48
    }
}

private class LoadCommand : Subcommand("load", "Measure the latency and CPU cost that an entry adds to calls") {
    private val entry by option(ArgType.String, "entry", description = "URL of the entry").required()
    private val plain by option(ArgType.String, "plain", description = "URL of a plain target").required()
    private val engine by option(ArgType.String, "engine", description = "URL of an engine").required()
    private val entryPid by option(ArgType.Int, "entry-pid", description = "Process ID of the entry").required()
    private val stewardPid by option(ArgType.Int, "steward-pid", description = "Process ID of its steward").required()
    private val streams by option(ArgType.Int, "streams", description = "Number of open streams").default(STREAMS)

    override fun execute() {
        val setup = LoadSetup(entry, plain, engine, entryPid.toLong(), stewardPid.toLong(), streams)
        runBlocking(Dispatchers.Default) { LoadDriver(setup).run() }
        exitProcess(0)
    }

    private companion object {
        const val STREAMS = 5_000
    }
}

@OptIn(ExperimentalCli::class)
fun main(args: Array<String>) {
    configureLogs(json = false, level = "info")
    val parser = ArgParser("guavashore-standin")
    parser.subcommands(PlatformCommand(), DemoCommand(), LoadCommand())
    parser.parse(args)
}
