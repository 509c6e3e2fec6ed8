/*
 * Commands that need no store: validate, schema, key-new.
 */
package io.guavashore.ctl

import com.github.michaelbull.result.getError
import io.guavashore.api.KeyId
import io.guavashore.keys.CallerKey
import io.guavashore.settings.declarationSection
import io.guavashore.settings.describeSchema
import io.guavashore.settings.nodeSection
import io.guavashore.settings.readDeclaration
import kotlinx.cli.ArgType
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.serialization.Serializable

@Serializable
private data class ErrorLine(
    val path: String,
    val line: Int?,
    val message: String,
)

/** `guavashorectl validate FILE`. */
internal class ValidateCommand : Subcommand("validate", "Check a declaration and list all its errors") {
    private val path by argument(ArgType.String, "file", "Declaration (TOML)")
    private val json by option(ArgType.Boolean, "json", description = "Print JSON").default(false)

    override fun execute() {
        val errors = readDeclaration(readFileOrFail(path)).getError().orEmpty()
        if (json) println(prettyJson.encodeToString(errors.map { ErrorLine(it.path, it.line, it.message) }))
        if (errors.isNotEmpty()) failWith(path, errors)
        if (!json) println("$path: no errors")
    }
}

/** `guavashorectl schema`. */
internal class SchemaCommand : Subcommand("schema", "Print and describe every key of declarations and VM settings") {
    override fun execute() {
        println("# Declaration of a team\n\n${describeSchema(declarationSection)}")
        println("# Settings of a VM\n\n${describeSchema(nodeSection)}")
    }
}

/** `guavashorectl key-new ID`. */
internal class KeyNewCommand : Subcommand("key-new", "Generate a key; prints it once, with the hash to declare") {
    private val id by argument(ArgType.String, "id", "Id of the key, a-z, 0-9 and '-'")

    override fun execute() {
        val key = CallerKey.generate(KeyId(id))
        if (CallerKey.parseOrNull(key.text) == null) {
            fail(ExitCode.INVALID, "key id '$id' is invalid; use 1 to 64 characters of a-z, 0-9 and '-'")
        }
        println("key:           ${key.text}")
        println("secret_sha256: ${key.secretSha256}")
    }
}
