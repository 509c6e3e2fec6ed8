package io.guavashore.acceptance

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrThrow
import io.guavashore.api.Declaration
import io.guavashore.api.Endpoint
import io.guavashore.api.TeamId
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.configuration.ChangeRequest
import io.guavashore.configuration.ConfigurationStore
import io.guavashore.platform.VmRow
import io.guavashore.platform.VmState
import io.guavashore.settings.readDeclaration
import io.guavashore.standin.EngineConfig
import io.guavashore.standin.StandinFleet
import io.guavashore.standin.StandinPlatform
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import java.io.File
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.time.Duration
import java.util.UUID
import java.util.concurrent.TimeUnit

/** Entry and steward processes, one pair per VM, with the stand-in platform in the test process. */
internal class TestSystem(
    zones: List<String> = listOf("az-1", "az-1"),
    tickMs: Long = 5,
) : AutoCloseable {
    class Vm(
        val name: String,
        val zone: String,
        val controlPort: Int,
        val stewardOperationsPort: Int,
        val entryPort: Int,
        val entryOperationsPort: Int,
    )

    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val directory = Files.createTempDirectory("guavashore").toFile()
    private val processes = HashMap<String, Process>()
    val vms =
        zones.mapIndexed {
            index,
            zone,
            ->
            freePorts(4).let { Vm("vm-${index + 1}", zone, it[0], it[1], it[2], it[3]) }
        }
    val fleet = StandinFleet(scope, EngineConfig(tickMs = tickMs))
    val platform =
        StandinPlatform(
            0,
            fleet,
            vms.map {
                VmRow(VmId(it.name), ZoneId(it.zone), Endpoint("127.0.0.1", it.controlPort), VmState.LIVE)
            },
        )
    val http: HttpClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    init {
        platform.start()
        vms.forEach { vm ->
            startSteward(vm)
            startEntry(vm)
        }
    }

    fun startSteward(vm: Vm) = start("steward", vm, "io.guavashore.steward.StewardMainKt")

    fun startEntry(vm: Vm) = start("entry", vm, "io.guavashore.entry.EntryMainKt")

    /** Sends a signal to a process; [name] is KILL, TERM, STOP or CONT. */
    fun signal(
        role: String,
        vm: Vm,
        name: String,
    ) {
        val pid = processes.getValue("$role-${vm.name}").pid()
        ProcessBuilder("kill", "-$name", "$pid").start().waitFor()
    }

    /** True if the process exits within [withinS] seconds. */
    fun exited(
        role: String,
        vm: Vm,
        withinS: Long,
    ): Boolean = processes.getValue("$role-${vm.name}").waitFor(withinS, TimeUnit.SECONDS)

    /** Applies [edit] to the newest declaration, initially the test declaration; returns the new revision. */
    fun apply(edit: (Declaration) -> Declaration = { it }) =
        runBlocking {
            val configuration = ConfigurationStore(platform.objectStore.asStore)
            val current = configuration.newest(TeamId("demo")).get()
            val base = current?.declaration ?: testDeclaration()
            val request = ChangeRequest(edit(base), current?.revision, UUID.randomUUID().toString(), "test", "", 0)
            configuration
                .accept(request)
                .getOrThrow { error(it.message) }
                .revision.value
        }

    /** Applies the declaration and waits until model and plain calls succeed through every entry. */
    fun applyAndWait() {
        apply()
        vms.forEach { vm ->
            await({ "calls through ${vm.name}\n${logs()}" }, withinMs = 60_000) {
                generate(vm, tokens = 1).statusCode() == 200 &&
                    get(vm, "/v1/demo/price/call/price/x").statusCode() == 200
            }
        }
    }

    fun get(
        vm: Vm,
        path: String,
    ): HttpResponse<String> = http.send(request(vm.entryPort, path).GET().build(), HttpResponse.BodyHandlers.ofString())

    fun status(vm: Vm): String =
        http
            .send(request(vm.stewardOperationsPort, "/status").GET().build(), HttpResponse.BodyHandlers.ofString())
            .body()

    fun order(
        vm: Vm,
        order: String,
    ): HttpResponse<String> = post(vm, "/v1/demo/orders/call/order", order)

    fun generate(
        vm: Vm,
        tokens: Int,
        prompt: List<Int> = listOf(1),
        key: String = APP_KEY,
    ): HttpResponse<String> = post(vm, "/v1/demo/chat/generate", """{"prompt":$prompt,"max_tokens":$tokens}""", key)

    fun post(
        vm: Vm,
        path: String,
        body: String,
        key: String = APP_KEY,
        headers: Map<String, String> = emptyMap(),
    ): HttpResponse<String> {
        val request = request(vm.entryPort, path).header("Authorization", "Bearer $key")
        headers.forEach(request::header)
        request.POST(HttpRequest.BodyPublishers.ofString(body))
        return http.send(request.build(), HttpResponse.BodyHandlers.ofString())
    }

    /** Starts a streamed generation and collects its lines as they arrive. */
    fun stream(
        vm: Vm,
        tokens: Int,
        prompt: List<Int> = listOf(1),
        key: String = APP_KEY,
    ): Stream = Stream(this, vm, """{"prompt":$prompt,"max_tokens":$tokens,"stream":true}""", key)

    fun logOf(
        role: String,
        vm: Vm,
    ): String = File(directory, "$role-${vm.name}.log").readText()

    /** Logs of all processes, for a failure after which they are deleted. */
    private fun logs() = processes.keys.sorted().joinToString("\n") { "$it:\n${File(directory, "$it.log").readText()}" }

    override fun close() {
        processes.values.forEach { it.destroyForcibly() }
        processes.values.forEach { it.waitFor() }
        platform.close()
        scope.cancel()
        directory.deleteRecursively()
    }

    private fun start(
        role: String,
        vm: Vm,
        main: String,
    ) {
        val settings = File(directory, "${vm.name}.toml").apply { writeText(settingsOf(vm)) }
        val java = File(System.getProperty("java.home"), "bin/java").path
        val classPath = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")
        val arguments = listOf("-Xmx256m", "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-cp", classPath)
        processes["$role-${vm.name}"] =
            ProcessBuilder(listOf(java) + arguments + listOf(main, "--settings", settings.path))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(File(directory, "$role-${vm.name}.log")))
                .start()
    }

    private fun settingsOf(vm: Vm): String {
        val stewards = listOf(vm) + vms.filter { it.zone == vm.zone && it != vm }
        return """
            vm = "${vm.name}"
            zone = "${vm.zone}"
            [entry]
            listen = "127.0.0.1:${vm.entryPort}"
            operations = "127.0.0.1:${vm.entryOperationsPort}"
            stewards = [${stewards.joinToString { "\"127.0.0.1:${it.controlPort}\"" }}]
            [steward]
            control = "127.0.0.1:${vm.controlPort}"
            operations = "127.0.0.1:${vm.stewardOperationsPort}"
            platform = "http://127.0.0.1:${platform.port}"
            """.trimIndent()
    }

    private fun request(
        port: Int,
        path: String,
    ) = HttpRequest.newBuilder(URI("http://127.0.0.1:$port$path")).timeout(Duration.ofSeconds(60))

    companion object {
        const val APP_KEY = "gk_app_sample-secret-app"

        private fun freePorts(count: Int): List<Int> {
            val sockets = List(count) { ServerSocket(0) }
            return sockets.map { it.localPort }.also { sockets.forEach(ServerSocket::close) }
        }

        private fun testDeclaration(): Declaration =
            readDeclaration(File("../examples/demo.toml").readText()).getOrThrow { error("$it") }
    }
}

/** Streamed response whose lines are collected as they arrive. */
internal class Stream(
    system: TestSystem,
    vm: TestSystem.Vm,
    body: String,
    key: String,
) {
    private val collected = java.util.Collections.synchronizedList(mutableListOf<String>())
    private val response =
        system.http
            .sendAsync(
                HttpRequest
                    .newBuilder(URI("http://127.0.0.1:${vm.entryPort}/v1/demo/chat/generate"))
                    .header("Authorization", "Bearer $key")
                    .POST(HttpRequest.BodyPublishers.ofString(body))
                    .build(),
                HttpResponse.BodyHandlers.ofLines(),
            ).thenApplyAsync { response -> response.body().forEach { collected += it } }

    val lines: List<String> get() = synchronized(collected) { collected.toList() }
    val isEnded: Boolean get() = response.isDone
    val isComplete: Boolean get() = lines.lastOrNull()?.contains(""""done":true""") == true
}

/** Waits until [condition] holds; fails with [description] after [withinMs] milliseconds. */
internal fun await(
    description: String,
    withinMs: Long,
    condition: () -> Boolean,
) = await({ description }, withinMs, condition)

/** Overload that computes [description] only on failure. */
internal fun await(
    description: () -> String,
    withinMs: Long,
    condition: () -> Boolean,
) {
    val deadlineMs = System.currentTimeMillis() + withinMs
    while (true) {
        if (runCatching(condition).getOrDefault(false)) return
        check(System.currentTimeMillis() < deadlineMs) { "condition not met within $withinMs ms: ${description()}" }
        Thread.sleep(50)
    }
}
