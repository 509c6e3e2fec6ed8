/*
 * Key of a caller, in the text form `gk_<key id>_<secret>`. Only the secret's hash is stored. One round of SHA-256 is
 * enough for it, since the secret is 256 random bits and can't be guessed.
 */
package io.guavashore.keys

import io.guavashore.api.KeyId
import java.security.MessageDigest
import java.security.SecureRandom
import java.util.Base64
import java.util.HexFormat

/** Key that a caller presented. [toString] never includes the secret. */
class CallerKey internal constructor(
    val id: KeyId,
    private val secret: String,
) {
    /** Returns true if the secret's hash is [expectedSha256] (hex). Compares in constant time. */
    fun matches(expectedSha256: String): Boolean =
        MessageDigest.isEqual(sha256Hex(secret).toByteArray(), expectedSha256.lowercase().toByteArray())

    /** Returns true if [text] contains the secret. False for short secrets, which may occur in text by chance. */
    fun isContainedIn(text: String): Boolean = secret.length >= MIN_SECRET_LENGTH && secret in text

    override fun toString() = "gk_${id}_***"

    companion object {
        private const val PREFIX = "gk_"
        private const val MAX_LENGTH = 200
        private const val MIN_SECRET_LENGTH = 8
        private const val SECRET_BYTES = 32
        private val idPattern = Regex("[a-z0-9-]{1,64}")

        /** Parses a presented key; returns null if [text] is not of the form `gk_<key id>_<secret>`. */
        fun parseOrNull(text: String): CallerKey? {
            if (text.length > MAX_LENGTH || !text.startsWith(PREFIX)) return null
            val body = text.removePrefix(PREFIX)
            val id = body.substringBefore('_')
            val secret = body.substringAfter('_', missingDelimiterValue = "")
            if (!idPattern.matches(id) || secret.isEmpty()) return null
            return CallerKey(KeyId(id), secret)
        }

        /** Generates a key with a random secret for [id]. */
        fun generate(
            id: KeyId,
            random: SecureRandom = SecureRandom(),
        ): GeneratedKey {
            val bytes = ByteArray(SECRET_BYTES).also(random::nextBytes)
            val secret = Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)
            return GeneratedKey(text = "$PREFIX${id}_$secret", secretSha256 = sha256Hex(secret))
        }

        /** SHA-256 of [secret] in hex, as used in declarations. */
        fun sha256Hex(secret: String): String =
            HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(secret.toByteArray()))
    }
}

/** Newly generated key: [text] is shown once to the operator, [secretSha256] goes into the declaration. */
class GeneratedKey(
    val text: String,
    val secretSha256: String,
)
