/*
 * Commands that change a team's declaration. Each of them creates a new revision.
 */
package io.guavashore.ctl

import com.github.michaelbull.result.getOrElse
import io.guavashore.api.Declaration
import io.guavashore.api.KeyDeclaration
import io.guavashore.api.KeyId
import io.guavashore.api.OrganisationDeclaration
import io.guavashore.api.OrganisationId
import io.guavashore.api.Revision
import io.guavashore.api.TargetId
import io.guavashore.api.TeamId
import io.guavashore.api.TeamSnapshot
import io.guavashore.configuration.ChangeRequest
import io.guavashore.settings.readDeclaration
import kotlinx.cli.ArgType
import kotlinx.cli.default
import java.util.UUID

/** Base of the commands that create a new revision. */
internal abstract class ChangeCommand(
    name: String,
    description: String,
) : StoreCommand(name, description) {
    private val author by option(ArgType.String, "author", description = "Author of the change (or USER)")
    private val message by option(ArgType.String, "message", "m", "Why the change is made").default("")
    private val wait by option(
        ArgType.Boolean,
        "wait",
        description = "Wait until the revision is in force everywhere",
    ).default(false)
    private val waitMs by option(
        ArgType.Int,
        "wait-ms",
        description = "Maximum wait of --wait, in milliseconds",
    ).default(DEFAULT_WAIT_MS)
    private val steward by option(
        ArgType.String,
        "steward",
        description = "Operations address of any steward, for --wait (or GUAVASHORE_STEWARD)",
    )

    /**
     * Submits [declaration] as a new revision that follows [basedOn], null for a team's first. Ends the process if the
     * revision is not accepted or, with `--wait`, not in force everywhere in time.
     */
    protected suspend fun accept(
        declaration: Declaration,
        basedOn: Revision?,
    ) {
        val request =
            ChangeRequest(
                declaration = declaration,
                basedOn = basedOn,
                changeId = UUID.randomUUID().toString(),
                author = author ?: System.getenv("USER") ?: "unknown",
                message = message,
                nowMs = System.currentTimeMillis(),
            )
        val snapshot = configuration.accept(request).orFail()
        print("${declaration.team}: revision ${snapshot.revision} accepted") { prettyJson.encodeToString(snapshot) }
        if (wait) waitInForce(snapshot)
    }

    /** Newest declaration of [team]. Ends the process if there is none. */
    protected suspend fun newest(team: TeamId): TeamSnapshot =
        configuration.newest(team).orFail()
            ?: fail(ExitCode.INVALID, "team $team has no declaration yet; apply one first")

    /** Submits the newest declaration of [team] as changed by [edit]. */
    protected suspend fun change(
        team: TeamId,
        edit: (Declaration) -> Declaration,
    ) {
        val current = newest(team)
        accept(edit(current.declaration), current.revision)
    }

    private suspend fun waitInForce(snapshot: TeamSnapshot) {
        val address = steward ?: System.getenv("GUAVASHORE_STEWARD")
        if (address ==
            null
        ) {
            fail(ExitCode.INVALID, "--wait needs a steward; use --steward IP:PORT or set GUAVASHORE_STEWARD")
        }
        val outdated =
            FleetStatus(client, address).waitFor(snapshot.declaration.team, snapshot.revision, waitMs.toLong())
        if (outdated.isEmpty()) return println("in force everywhere")
        fail(ExitCode.NOT_IN_FORCE, "revision accepted, but not in force yet on: ${outdated.joinToString()}")
    }

    private companion object {
        const val DEFAULT_WAIT_MS = 15_000
    }
}

/** `guavashorectl apply FILE`. */
internal class ApplyCommand : ChangeCommand("apply", "Apply a declaration as the team's new revision") {
    private val path by argument(ArgType.String, "file", "Declaration (TOML)")
    private val basedOn by option(ArgType.Int, "based-on", description = "Fail unless this revision is the newest")

    override suspend fun run() {
        val declaration = readDeclaration(readFileOrFail(path)).getOrElse { failWith(path, it) }
        val current = configuration.newest(declaration.team).orFail()
        val expected = basedOn
        if (expected != null && current?.revision?.value != expected.toLong()) {
            fail(
                ExitCode.CONFLICT,
                "revision ${current?.revision ?: 0} is the newest, not $expected; see 'guavashorectl diff $path'",
            )
        }
        accept(keepWithdrawalsAndDrains(current?.declaration, declaration), current?.revision)
    }
}

/**
 * Returns [next] with the changes of [current] that a new declaration can't undo: keys that [next] no longer contains
 * remain in it as withdrawn, withdrawn keys stay withdrawn, and targets that are being drained continue to drain.
 */
internal fun keepWithdrawalsAndDrains(
    current: Declaration?,
    next: Declaration,
): Declaration {
    if (current == null) return next
    val declaredIds = next.keys.map { it.id }.toSet()
    val removedKeys = current.keys.filter { it.id !in declaredIds }.map { it.copy(withdrawn = true) }
    val withdrawnIds =
        current.keys
            .filter { it.withdrawn }
            .map { it.id }
            .toSet()
    val keys = next.keys.map { if (it.id in withdrawnIds) it.copy(withdrawn = true) else it }
    return next.copy(keys = keys + removedKeys, drainedTargets = next.drainedTargets + current.drainedTargets)
}

/** `guavashorectl rollback TEAM REVISION`. */
internal class RollbackCommand : ChangeCommand("rollback", "Create a new revision with the content of an earlier one") {
    private val team by argument(ArgType.String, "team", "Team")
    private val revision by argument(ArgType.Int, "revision", "Revision to restore")

    override suspend fun run() {
        val id = TeamId(team)
        val head = configuration.head(id).getOrElse { fail(ExitCode.STORE, it.message) }.head
        val change =
            head?.history?.firstOrNull { it.revision.value == revision.toLong() }
                ?: fail(
                    ExitCode.INVALID,
                    "revision $revision of $team is not in the history; see 'guavashorectl history $team'",
                )
        val current = newest(id)
        val earlier = configuration.snapshot(id, change).orFail()
        accept(keepWithdrawalsAndDrains(current.declaration, earlier.declaration), current.revision)
    }
}

/** `guavashorectl key-grant TEAM ID`. */
internal class KeyGrantCommand : ChangeCommand("key-grant", "Grant a key") {
    private val team by argument(ArgType.String, "team", "Team")
    private val id by argument(ArgType.String, "id", "Id of the key")
    private val organisation by argument(ArgType.String, "organisation", "Organisation that gets the key")
    private val hash by argument(ArgType.String, "secret-sha256", "SHA-256 of the secret, as printed by 'key-new'")

    override suspend fun run() =
        change(TeamId(team)) { declaration ->
            if (declaration.organisation(OrganisationId(organisation)) == null) {
                fail(ExitCode.INVALID, "organisation $organisation is not declared; see 'guavashorectl show $team'")
            }
            if (declaration.keys.any { it.id.value == id }) fail(ExitCode.CONFLICT, "key $id exists; use another id")
            declaration.copy(keys = declaration.keys + KeyDeclaration(KeyId(id), OrganisationId(organisation), hash))
        }
}

/** `guavashorectl key-withdraw TEAM ID`. */
internal class KeyWithdrawCommand : ChangeCommand("key-withdraw", "Withdraw a key permanently") {
    private val team by argument(ArgType.String, "team", "Team")
    private val id by argument(ArgType.String, "id", "Id of the key")

    override suspend fun run() =
        change(TeamId(team)) { declaration ->
            if (declaration.keys.none { it.id.value == id }) {
                fail(
                    ExitCode.INVALID,
                    "key $id is not declared; see 'guavashorectl show $team'",
                )
            }
            declaration.copy(keys = declaration.keys.map { if (it.id.value == id) it.copy(withdrawn = true) else it })
        }
}

/** `guavashorectl limit TEAM ORGANISATION`. */
internal class LimitCommand :
    ChangeCommand("limit", "Set limits of an organisation; adds the organisation if it is not declared") {
    private val team by argument(ArgType.String, "team", "Team")
    private val organisation by argument(ArgType.String, "organisation", "Organisation")
    private val requestsPerS by option(ArgType.Double, "requests-per-s", description = "Maximum requests per second")
    private val tokensPerS by option(ArgType.Double, "tokens-per-s", description = "Maximum tokens per second")
    private val concurrent by option(ArgType.Int, "concurrent-requests", description = "Maximum concurrent requests")
    private val weight by option(ArgType.Int, "weight", description = "Weight in queues")

    override suspend fun run() =
        change(TeamId(team)) { declaration ->
            val id = OrganisationId(organisation)
            val currentLimits = declaration.organisation(id) ?: OrganisationDeclaration(id)
            val newLimits =
                currentLimits.copy(
                    requestsPerS = requestsPerS ?: currentLimits.requestsPerS,
                    tokensPerS = tokensPerS ?: currentLimits.tokensPerS,
                    concurrentRequests = concurrent ?: currentLimits.concurrentRequests,
                    weight = weight ?: currentLimits.weight,
                )
            val limitsAndWeight =
                listOf(
                    newLimits.requestsPerS,
                    newLimits.tokensPerS,
                    newLimits.concurrentRequests.toDouble(),
                    newLimits.weight.toDouble(),
                )
            if (limitsAndWeight.any { it <= 0 }) {
                fail(ExitCode.INVALID, "limits and weights must be above 0; see 'guavashorectl schema'")
            }
            declaration.copy(organisations = declaration.organisations.filter { it.id != id } + newLimits)
        }
}

/** `guavashorectl drain TEAM TARGET`. */
internal class DrainCommand : ChangeCommand("drain", "Send a target no new requests and stop it once it is idle") {
    private val team by argument(ArgType.String, "team", "Team")
    private val target by argument(ArgType.String, "target", "Target")
    private val undo by option(
        ArgType.Boolean,
        "undo",
        description = "Cancel the drain, if the target is not stopped yet",
    ).default(false)

    override suspend fun run() =
        change(TeamId(team)) { declaration ->
            val id = TargetId(target)
            declaration.copy(
                drainedTargets =
                    if (undo) {
                        declaration.drainedTargets - id
                    } else {
                        declaration.drainedTargets +
                            id
                    },
            )
        }
}
