/*
 * Checks callers' keys against the keys of a team's declaration. Rebuilt for each adopted revision.
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
 * Keys declared in one revision.
 *
 * ```
 * KeyRing(declaration).check("gk_app_s3cret").map { it.organisation }
 * ```
 */
class KeyRing(
    declaration: Declaration,
) {
    private val keys: Map<KeyId, KeyDeclaration> = declaration.keys.associateBy { it.id }

    /** Returns the declaration of the [presented] key, or the reason for its refusal. */
    fun check(presented: String?): Result<KeyDeclaration, Refusal> {
        if (presented == null) return refuse(RefusalKind.KEY_MISSING, "send a key as 'Authorization: Bearer gk_...'")
        val key = CallerKey.parseOrNull(presented) ?: return invalid()
        val declared = keys[key.id]
        val matches = key.matches(declared?.secretSha256 ?: DUMMY_SHA256)
        if (declared == null || !matches) return invalid()
        if (declared.withdrawn) {
            return refuse(
                RefusalKind.KEY_WITHDRAWN,
                "the key was withdrawn; ask an operator for another",
            )
        }
        return Ok(declared)
    }

    /** Returns true if the key [id] is declared and not withdrawn, so that calls accepted with it may continue. */
    fun isInForce(id: KeyId): Boolean = keys[id]?.withdrawn == false

    private fun invalid() =
        refuse(RefusalKind.KEY_INVALID, "the key is not known; check it, or ask an operator for another")

    private fun refuse(
        kind: RefusalKind,
        message: String,
    ) = Err(Refusal(kind = kind, message = message, notRun = true))

    private companion object {
        // Compared against if the id is unknown, so that the response time does not reveal which ids exist.
        val DUMMY_SHA256 = "0".repeat(64)
    }
}
