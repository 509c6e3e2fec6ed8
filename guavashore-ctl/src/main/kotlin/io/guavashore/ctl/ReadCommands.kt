/*
 * Commands that show declarations, their history and usage from the store.
 */
package io.guavashore.ctl

import com.github.michaelbull.result.getOrElse
import io.guavashore.api.TeamId
import io.guavashore.platform.UsageLine
import io.guavashore.settings.readDeclaration
import io.guavashore.usage.SealedWindow
import io.guavashore.usage.TeamWindows
import io.guavashore.usage.teamWindowsPath
import kotlinx.cli.ArgType
import java.time.Instant

/** `guavashorectl diff FILE`. */
internal class DiffCommand : StoreCommand("diff", "Show the changes that applying a declaration would make") {
    private val path by argument(ArgType.String, "file", "Declaration (TOML)")

    override suspend fun run() {
        val declaration = readDeclaration(readFileOrFail(path)).getOrElse { failWith(path, it) }
        val current = configuration.newest(declaration.team).orFail()
        val changes = diff(current?.declaration, keepWithdrawalsAndDrains(current?.declaration, declaration))
        val text = if (changes.isEmpty()) "no changes to revision ${current?.revision}" else render(changes)
        print(text) { prettyJson.encodeToString(changes.mapValues { (_, change) -> change.toList() }) }
    }
}

/** `guavashorectl show TEAM`. */
internal class ShowCommand : StoreCommand("show", "Print a team's newest declaration as JSON") {
    private val team by argument(ArgType.String, "team", "Team")

    override suspend fun run() {
        val snapshot = configuration.newest(TeamId(team)).orFail()
        if (snapshot == null) fail(ExitCode.INVALID, "team $team has no declaration")
        println(prettyJson.encodeToString(snapshot))
    }
}

/** `guavashorectl history TEAM`. */
internal class HistoryCommand : StoreCommand("history", "List a team's accepted changes, newest first") {
    private val team by argument(ArgType.String, "team", "Team")

    override suspend fun run() {
        val head = configuration.head(TeamId(team)).getOrElse { fail(ExitCode.STORE, it.message) }.head
        val history = head?.history.orEmpty()
        val text =
            history.joinToString("\n") {
                "${it.revision}\t${Instant.ofEpochMilli(it.acceptedAtMs)}\t${it.author}\t${it.changeId}\t${it.message}"
            }
        print(text) { prettyJson.encodeToString(history) }
    }
}

/** `guavashorectl usage TEAM`. */
internal class UsageCommand : StoreCommand("usage", "List a team's sealed usage windows") {
    private val team by argument(ArgType.String, "team", "Team")

    override suspend fun run() {
        val stored = platform.store.read(teamWindowsPath(TeamId(team))).getOrElse { fail(ExitCode.STORE, it.message) }
        val windows = stored?.let { prettyJson.decodeFromString<TeamWindows>(it.value) }?.windows.orEmpty()
        val text = windows.joinToString("\n", transform = ::describe)
        print(text) { prettyJson.encodeToString(windows) }
    }

    private fun describe(window: SealedWindow): String {
        val start = Instant.ofEpochMilli(window.report.windowStartMs)
        val lines = window.report.lines.joinToString("; ", transform = ::describe)
        return "$start\t${if (window.sent) "sent" else "sealed"}\t$lines"
    }

    private fun describe(line: UsageLine): String {
        val amount = line.amount
        val adjusted = if (line.adjustment.isZero()) "" else " (adjusted by ${line.adjustment})"
        val delivered = "${amount.requests} requests, ${amount.tokens} tokens, ${amount.samples} samples"
        return "${line.organisation}: $delivered$adjusted"
    }
}
