/*
 * Settings of a VM's processes: who and where they are and what they talk to. Declared configuration is not here
 * but in the store.
 */
package io.guavashore.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.guavashore.api.Endpoint
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId

/** Form of log lines. */
enum class LogFormat { TEXT, JSON }

/** Settings of one VM, read by its entry and its steward alike. */
data class NodeSettings(
    val vm: VmId,
    val zone: ZoneId,
    val logFormat: LogFormat,
    val logLevel: String,
    val entryListen: Endpoint,
    val entryOperations: Endpoint,
    val entryStewards: List<Endpoint>,
    val drainTimeoutMs: Long,
    val stewardControl: Endpoint,
    val stewardOperations: Endpoint,
    val platformUrl: String,
)

private val endpointForm = Regex(""".+:\d{1,5}""")
private const val ENDPOINT = "an IP number and port, such as \"127.0.0.1:8080\""

internal object NodeFields {
    val vm = textField("vm", "Name of this VM.", pattern = nameForm, form = "1 to 63 of a-z, 0-9, '-'")
    val zone = textField("zone", "Availability zone of this VM.", pattern = nameForm, form = "1 to 63 of a-z, 0-9, '-'")
    val format =
        choiceField(
            "format",
            "Form of log lines.",
            mapOf("text" to LogFormat.TEXT, "json" to LogFormat.JSON),
            LogFormat.TEXT,
        )
    val level =
        choiceField(
            "level",
            "Least level that is logged.",
            listOf("debug", "info", "warn", "error").associateWith {
                it
            },
            "info",
        )
    val listen = textField("listen", "Where callers connect.", pattern = endpointForm, form = ENDPOINT)
    val operations =
        textField(
            "operations",
            "Where /metrics, /healthz, /readyz and /status are served.",
            pattern = endpointForm,
            form = ENDPOINT,
        )
    val stewards =
        textListField(
            "stewards",
            "Stewards of the zone, this VM's first.",
            default = null,
            pattern = endpointForm,
            form = ENDPOINT,
        )
    val drainTimeoutMs =
        longField(
            "drain_timeout_ms",
            "Longest time to finish calls after SIGTERM, in ms.",
            0L..86_400_000L,
            default = 600_000,
        )
    val control =
        textField(
            "control",
            "Where other stewards and entries connect, TCP and UDP.",
            pattern = endpointForm,
            form = ENDPOINT,
        )
    val platform =
        textField(
            "platform",
            "Base URL of the platform.",
            pattern = Regex("https?://.+"),
            form = "an http or https URL",
        )
}

/** Schema of a VM's settings. */
val nodeSection =
    Section(
        doc = "Settings of one VM.",
        fields = listOf(NodeFields.vm, NodeFields.zone),
        tables =
            mapOf(
                "logs" to Section("Logs of both processes.", listOf(NodeFields.format, NodeFields.level)),
                "entry" to
                    Section(
                        doc = "The data path's process.",
                        fields = NodeFields.run { listOf(listen, operations, stewards, drainTimeoutMs) },
                    ),
                "steward" to
                    Section(
                        doc = "The control path's process.",
                        fields = NodeFields.run { listOf(control, operations, platform) },
                    ),
            ),
    )

/** Reads a VM's settings from TOML [text], or returns all their faults. */
fun readNodeSettings(text: String): Result<NodeSettings, List<Fault>> {
    val faults = Faults()
    val reader = readToml(text, nodeSection, faults)
    val logs = reader.table("logs")
    val entry = reader.table("entry")
    val steward = reader.table("steward")
    val settings =
        NodeSettings(
            vm = VmId(reader[NodeFields.vm].orEmpty()),
            zone = ZoneId(reader[NodeFields.zone].orEmpty()),
            logFormat = checkNotNull(logs[NodeFields.format]),
            logLevel = checkNotNull(logs[NodeFields.level]),
            entryListen = entry.endpoint(NodeFields.listen),
            entryOperations = entry.endpoint(NodeFields.operations),
            entryStewards = entry[NodeFields.stewards].orEmpty().map { entry.endpoint(NodeFields.stewards.key, it) },
            drainTimeoutMs = checkNotNull(entry[NodeFields.drainTimeoutMs]),
            stewardControl = steward.endpoint(NodeFields.control),
            stewardOperations = steward.endpoint(NodeFields.operations),
            platformUrl = steward[NodeFields.platform].orEmpty().trimEnd('/'),
        )
    return if (faults.list.isEmpty()) Ok(settings) else Err(faults.list)
}

private val nowhere = Endpoint(host = "0.0.0.0", port = 0)

private fun SectionReader.endpoint(field: Field<String>): Endpoint =
    this[field]?.let { endpoint(field.key, it) } ?: nowhere

private fun SectionReader.endpoint(
    key: String,
    text: String,
): Endpoint =
    Endpoint.parseOrNull(text) ?: nowhere.also {
        fault(key, "\"$text\" is not an IP number and port; names are not looked up")
    }
