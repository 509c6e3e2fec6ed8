/*
 * Commands that query running processes.
 */
package io.guavashore.ctl

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import kotlinx.cli.ArgType
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject

/** `guavashorectl status`. */
internal class StatusCommand : Subcommand("status", "Show members, leases and revisions in force") {
    private val steward by option(
        ArgType.String,
        "steward",
        description = "Operations address of any steward (or GUAVASHORE_STEWARD)",
    )
    private val json by option(ArgType.Boolean, "json", description = "Print JSON").default(false)

    override fun execute() {
        val address = steward ?: System.getenv("GUAVASHORE_STEWARD")
        if (address == null) fail(ExitCode.INVALID, "no steward given; use --steward IP:PORT or set GUAVASHORE_STEWARD")
        val all = HttpClient(CIO).use { client -> runBlocking { FleetStatus(client, address).all() } }
        if (json) return println(prettyJson.encodeToString(all))
        all.toSortedMap().forEach { (vm, status) -> println(describe(vm, status)) }
    }

    private fun describe(
        vm: String,
        status: NodeStatus?,
    ): String {
        if (status == null) return "$vm\tno response"
        val revisions =
            status.revisions.joinToString {
                "${it.team}=${it.inForce}" +
                    if (it.reason == null) "" else " (${it.reason})"
            }
        val leases =
            listOfNotNull(
                status.zoneLease?.let { "holds ${status.zone} ($it)" },
                status.coordinatorLease?.let { "coordinates ($it)" },
            ).joinToString()
        return "$vm\t${status.zone}\t$revisions\t$leases"
    }
}

/** `guavashorectl step-status`. */
internal class StepStatusCommand : Subcommand("step-status", "Show the steps that an entry owns") {
    private val entry by option(
        ArgType.String,
        "entry",
        description = "Operations address of the entry (or GUAVASHORE_ENTRY)",
    )
    private val json by option(ArgType.Boolean, "json", description = "Print JSON").default(false)

    override fun execute() {
        val address = entry ?: System.getenv("GUAVASHORE_ENTRY")
        if (address == null) fail(ExitCode.INVALID, "no entry given; use --entry IP:PORT or set GUAVASHORE_ENTRY")
        val text = HttpClient(CIO).use { client -> runBlocking { client.get("http://$address/status").bodyAsText() } }
        val steps =
            prettyJson
                .parseToJsonElement(text)
                .jsonObject["steps"]
                ?.jsonArray
                .orEmpty()
        if (json) return println(prettyJson.encodeToString(steps.toList()))
        if (steps.isEmpty()) println("no steps")
        steps.forEach { println(describe(it)) }
    }

    private fun describe(step: JsonElement): String =
        step.jsonObject.entries.joinToString("  ") { (name, value) -> "$name=$value" }
}
