/*
 * Settings of a VM's processes: the VM's name and zone, listening addresses, and addresses of stewards and platform.
 * Declared configuration is not part of the settings; the store holds it.
 */
package io.guavashore.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.guavashore.api.Endpoint
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId

/** Format of log lines. */
enum class LogFormat { TEXT, JSON }

/** Settings of one VM, read by both its entry and its steward. */
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

private val endpointPattern = Regex(""".+:\d{1,5}""")
private const val EXPECTED_ENDPOINT = "an IP address and port, such as \"127.0.0.1:8080\""

internal object NodeFields {
    val vm =
        textField(
            "vm",
            "Name of this VM.",
            pattern = namePattern,
            expected = "1 to 63 characters of a-z, 0-9, '-'",
        )
    val zone =
        textField(
            "zone",
            "Availability zone of this VM.",
            pattern = namePattern,
            expected = "1 to 63 characters of a-z, 0-9, '-'",
        )
    val format =
        choiceField(
            "format",
            "Format of log lines.",
            mapOf("text" to LogFormat.TEXT, "json" to LogFormat.JSON),
            LogFormat.TEXT,
        )
    val level =
        choiceField(
            "level",
            "Min level that is logged.",
            listOf("debug", "info", "warn", "error").associateWith {
                it
            },
            "info",
        )
    val listen =
        textField(
            "listen",
            "Address where callers connect.",
            pattern = endpointPattern,
            expected = EXPECTED_ENDPOINT,
        )
    val operations =
        textField(
            "operations",
            "Address that serves /metrics, /healthz, /readyz and /status.",
            pattern = endpointPattern,
            expected = EXPECTED_ENDPOINT,
        )
    val stewards =
        textListField(
            "stewards",
            "Stewards of the zone, this VM's first.",
            default = null,
            pattern = endpointPattern,
            expected = EXPECTED_ENDPOINT,
        )
    val drainTimeoutMs =
        longField(
            "drain_timeout_ms",
            "Max time to finish calls after SIGTERM, in ms.",
            0L..86_400_000L,
            default = 600_000,
        )
    val control =
        textField(
            "control",
            "Address where other stewards and entries connect, over TCP and UDP.",
            pattern = endpointPattern,
            expected = EXPECTED_ENDPOINT,
        )
    val platform =
        textField(
            "platform",
            "Base URL of the platform.",
            pattern = Regex("https?://.+"),
            expected = "an http or https URL",
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
                        doc = "Process of the data path.",
                        fields = NodeFields.run { listOf(listen, operations, stewards, drainTimeoutMs) },
                    ),
                "steward" to
                    Section(
                        doc = "Process of the control path.",
                        fields = NodeFields.run { listOf(control, operations, platform) },
                    ),
            ),
    )

/** Reads a VM's settings from TOML [text], or returns all their errors. */
fun readNodeSettings(text: String): Result<NodeSettings, List<SettingsError>> {
    val errors = SettingsErrors()
    val reader = readToml(text, nodeSection, errors)
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
    return if (errors.list.isEmpty()) Ok(settings) else Err(errors.list)
}

private val placeholderEndpoint = Endpoint(host = "0.0.0.0", port = 0)

private fun SectionReader.endpoint(field: Field<String>): Endpoint =
    this[field]?.let { endpoint(field.key, it) } ?: placeholderEndpoint

private fun SectionReader.endpoint(
    key: String,
    text: String,
): Endpoint =
    Endpoint.parseOrNull(text) ?: placeholderEndpoint.also {
        reportError(key, "\"$text\" is not an IP address and port; host names are not resolved")
    }
