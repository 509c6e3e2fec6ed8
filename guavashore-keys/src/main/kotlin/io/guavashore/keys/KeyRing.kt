/*
 * Keys in force for a team, built anew from each adopted revision.
 */
package io.guavashore.keys

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.guavashore.api.Declaration
import io.guavashore.api.KeyDeclaration
import io.guavashore.api.KeyId
import io.guavashore.api.Refusal
import io.guavashore.api.RefusalKind

/**
 * Keys of one revision.
 *
 * ```
 * KeyRing(declaration).check("gk_app_s3cret").map { it.organisation }
 * ```
 */
class KeyRing(
    declaration: Declaration,
) {
    private val keys: Map<KeyId, KeyDeclaration> = declaration.keys.associateBy { it.id }

    /** Returns the declaration of the [presented] key, or why it is refused. */
    fun check(presented: String?): Result<KeyDeclaration, Refusal> {
        if (presented == null) return refuse(RefusalKind.KEY_MISSING, "send a key as 'Authorization: Bearer gk_...'")
        val key = CallerKey.parseOrNull(presented) ?: return invalid()
        val declared = keys[key.id]
        val matches = key.matches(declared?.secretSha256 ?: NO_SUCH_KEY_SHA256)
        if (declared == null || !matches) return invalid()
        if (declared.withdrawn) {
            return refuse(
                RefusalKind.KEY_WITHDRAWN,
                "the key was withdrawn; ask an operator for another",
            )
        }
        return Ok(declared)
    }

    /** True while calls that were let in with [id] may go on. */
    fun isInForce(id: KeyId): Boolean = keys[id]?.withdrawn == false

    private fun invalid() =
        refuse(RefusalKind.KEY_INVALID, "the key is not known; check it, or ask an operator for another")

    private fun refuse(
        kind: RefusalKind,
        message: String,
    ) = Err(Refusal(kind = kind, message = message, notRun = true))

    private companion object {
        // Compared against when the id is unknown, so that the answer takes as long as for a wrong secret.
        val NO_SUCH_KEY_SHA256 = "0".repeat(64)
    }
}
