/*
 * Command line of the experiments; each prints one JSON document per line.
 */
package io.guavashore.experiment

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.serialization.json.Json

private class FleetCommand : Subcommand("fleet", "Measure cost and propagation times of the membership") {
    private val sizes by option(ArgType.String, "sizes", description = "Fleet sizes, comma-separated")
        .default("7,50,200,410")

    override fun execute() {
        // The first run only warms up the JVM and is not printed.
        FleetMeasurement(size = 7).measure()
        sizes.split(',').forEach { println(Json.encodeToString(FleetMeasurement(it.toInt()).measure())) }
    }
}

private class SampleMemoryCommand : Subcommand("sample-memory", "Measure the heap of a step by its size") {
    private val sizes by option(ArgType.String, "sizes", description = "SAMPLESxTOKENS_PER_SAMPLE, comma-separated")
        .default("512x256,2048x256,4096x256,4096x512,4096x1024")

    override fun execute() =
        pairs(sizes).forEach { (samples, tokens) -> println(Json.encodeToString(measureSampleMemory(samples, tokens))) }
}

private class ReportSizeCommand : Subcommand("report-size", "Measure entry reports by targets and organisations") {
    private val sizes by option(ArgType.String, "sizes", description = "TARGETSxORGANISATIONS, comma-separated")
        .default("8x8,12x8,50x8,120x8,600x8,12x30")

    override fun execute() =
        pairs(sizes).forEach { (targets, organisations) ->
            println(Json.encodeToString(measureReportSize(targets, organisations)))
        }
}

private class EngineMemoryCommand : Subcommand("engine-memory", "Compare admission rules for streams of an engine") {
    private val seeds by option(ArgType.String, "seeds", description = "Seeds, comma-separated").default("1,2,3,4,5")
    private val sources by option(
        ArgType.String,
        "sources",
        description = "Numbers of sources in the check against the paper, comma-separated",
    ).default("40,100,200")

    override fun execute() {
        sources.split(',').forEach { println(Json.encodeToString(checkAgainstPaper(it.toInt()))) }
        seeds.split(',').forEach { seed ->
            EngineMemoryExperiment(seed = seed.toInt()).run().forEach { println(Json.encodeToString(it)) }
        }
    }
}

private class StepsCommand :
    Subcommand("steps", "Compare the production step policy with variants that omit one part, and with a baseline") {
    private val seeds by option(ArgType.String, "seeds", description = "Seeds, comma-separated").default("1,2,3,4,5")

    override fun execute() =
        StepPolicy.all.forEach { policy ->
            seeds.split(',').forEach { println(Json.encodeToString(StepExperiment(policy, it.toInt()).run())) }
        }
}

private fun pairs(text: String): List<Pair<Int, Int>> =
    text.split(',').map { it.substringBefore('x').toInt() to it.substringAfter('x').toInt() }

@OptIn(ExperimentalCli::class)
fun main(args: Array<String>) {
    val parser = ArgParser("guavashore-experiment")
    parser.subcommands(
        FleetCommand(),
        SampleMemoryCommand(),
        ReportSizeCommand(),
        EngineMemoryCommand(),
        StepsCommand(),
    )
    parser.parse(args)
}
