/*
 * Text form of a caller's key: `gk_<key id>_<secret>`. The secret is 256 random bits, so one round of SHA-256 is
 * enough at rest.
 */
package io.guavashore.keys

import io.guavashore.api.KeyId
import java.security.MessageDigest
import java.security.SecureRandom
import java.util.Base64
import java.util.HexFormat

/** A presented key. Its text form never includes the secret. */
class CallerKey internal constructor(
    val id: KeyId,
    private val secret: String,
) {
    /** True if the secret's hash is [expectedSha256]; takes the same time wherever they differ. */
    fun matches(expectedSha256: String): Boolean =
        MessageDigest.isEqual(sha256Hex(secret).toByteArray(), expectedSha256.lowercase().toByteArray())

    /** True if the secret stands in [text]; secrets too short to tell from other text are passed over. */
    fun standsIn(text: String): Boolean = secret.length >= SHORTEST_SECRET && secret in text

    override fun toString() = "gk_${id}_***"

    companion object {
        private const val PREFIX = "gk_"
        private const val MAX_LENGTH = 200
        private const val SHORTEST_SECRET = 8
        private const val SECRET_BYTES = 32
        private val idForm = Regex("[a-z0-9-]{1,64}")

        /** Parses a presented key, or returns null if [text] has another form. */
        fun parseOrNull(text: String): CallerKey? {
            if (text.length > MAX_LENGTH || !text.startsWith(PREFIX)) return null
            val body = text.removePrefix(PREFIX)
            val id = body.substringBefore('_')
            val secret = body.substringAfter('_', missingDelimiterValue = "")
            if (!idForm.matches(id) || secret.isEmpty()) return null
            return CallerKey(KeyId(id), secret)
        }

        /** Makes a new key for [id]; returns its text and the hash to declare. */
        fun generate(
            id: KeyId,
            random: SecureRandom = SecureRandom(),
        ): GeneratedKey {
            val bytes = ByteArray(SECRET_BYTES).also(random::nextBytes)
            val secret = Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)
            return GeneratedKey(text = "$PREFIX${id}_$secret", secretSha256 = sha256Hex(secret))
        }

        /** Hash under which [secret] is declared. */
        fun sha256Hex(secret: String): String =
            HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(secret.toByteArray()))
    }
}

/** New key: [text] is shown once to the operator, [secretSha256] goes into the declaration. */
class GeneratedKey(
    val text: String,
    val secretSha256: String,
)
