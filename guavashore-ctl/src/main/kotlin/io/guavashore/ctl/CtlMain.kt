/*
 * Entry point of guavashorectl, the operators' command-line tool.
 */
package io.guavashore.ctl

import io.guavashore.metrics.configureLogs
import io.guavashore.process.VERSION
import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli

private val examples =
    """
    Examples:
      guavashorectl validate examples/umhlanga.toml
      guavashorectl diff examples/umhlanga.toml --store http://127.0.0.1:9000
      guavashorectl apply examples/umhlanga.toml --wait --steward 127.0.0.1:7001
      guavashorectl key-withdraw umhlanga price-app
      guavashorectl rollback umhlanga 3
      guavashorectl status --steward 127.0.0.1:7001 --json
    """.trimIndent()

@OptIn(ExperimentalCli::class)
fun main(args: Array<String>) {
    if (args.firstOrNull() == "--version") return println("guavashorectl $VERSION")
    configureLogs(json = false, level = "warn")
    val parser = ArgParser("guavashorectl")
    parser.subcommands(
        ValidateCommand(),
        SchemaCommand(),
        KeyNewCommand(),
        DiffCommand(),
        ApplyCommand(),
        ShowCommand(),
        HistoryCommand(),
        RollbackCommand(),
        KeyGrantCommand(),
        KeyWithdrawCommand(),
        LimitCommand(),
        DrainCommand(),
        StatusCommand(),
        StepStatusCommand(),
        UsageCommand(),
    )
    if (args.isEmpty() || args.firstOrNull() in setOf("--help", "-h")) println("$examples\n")
    parser.parse(if (args.isEmpty()) arrayOf("--help") else args)
}
