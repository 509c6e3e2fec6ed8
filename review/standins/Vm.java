import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** An edge VM: one process, started with the command of the deploy file. */
final class Vm {
    final String name;
    final String ip;
    final String zone;
    final Store.Port storePort;
    private final int basePort;
    private final Path folder;
    private Process process;

    Vm(String name, String ip, String zone, int basePort, Store.Port storePort, Path folder) {
        this.name = name;
        this.ip = ip;
        this.zone = zone;
        this.basePort = basePort;
        this.storePort = storePort;
        this.folder = folder;
    }

    String front() { return ip + ":" + basePort; }
    String ready() { return ip + ":" + (basePort + 1); }
    String control() { return ip + ":" + (basePort + 2); }

    void start(List<String> seeds) throws IOException {
        Path settings = folder.resolve(name + ".json");
        Files.writeString(settings, Json.write(settings(seeds)));
        List<String> command = new ArrayList<>(Arrays.asList(runLine().split(" +")));
        ProcessBuilder builder = new ProcessBuilder(command).directory(new File(Deployment.ROOT)).redirectErrorStream(true);
        builder.redirectOutput(folder.resolve(name + ".log").toFile());
        builder.environment().put("GUAVASHORE_SETTINGS", settings.toString());
        process = builder.start();
    }

    /** The run line of the role that serves callers. */
    private static String runLine() throws IOException {
        boolean isEdge = false;
        for (String line : Files.readAllLines(Path.of(Deployment.ROOT, "deploy/system.toml"))) {
            if (line.startsWith("[")) isEdge = line.equals("[roles.edge]");
            if (isEdge && line.startsWith("run = ")) return line.substring("run = ".length()).replace("\"", "").trim();
        }
        throw new IOException("deploy/system.toml has no run line for the role edge");
    }

    private Map<String, Object> settings(List<String> seeds) {
        return Json.of(
            "node", name, "role", "edge", "machine_class", "edge", "serves", List.of("edge", "control"), "ip", ip, "zone", zone,
            "region", "r", "zones", Json.of("z1", "r", "z2", "r", "z3", "r"),
            "listen", Json.of("front", front(), "ready", ready(), "control", control()),
            "port_range", List.of((long) basePort + 3, (long) basePort + 8), "seeds", seeds, "bootstrap", true, "in_tolerance", false,
            "limits", Json.of("cpu_share", 0.75, "cores", 1L, "memory_mb", 430L, "max_fds", 4100L, "link_mbps", 1000.0, "disk_mb", 0L),
            "data_dir", null, "discovery", "platform", "entry", "vip", "heartbeat_ms", 1200L,
            "contracts", List.of("base", "drain", "config", "cost", "recover", "samples", "stream", "engine", "batch", "tenants", "leader", "platform"),
            "fault_tolerance", Json.of("machines", 1L, "zones", 1L, "regions", 0L),
            "bounds", Json.of("contact_ms", 3000L, "ack_ms", 4000L, "drain_ms", 2000L, "grace_s", 8L, "loss_slack_ms", 200L, "config_ms", 2000L,
                "require_fence", false, "lease_ms", 3000L, "thaw_ms", 300L, "report_window_s", 5L, "retention_s", 120L, "cancel_ms", 3000L,
                "settle_ms", 1000L),
            "provider", Json.of("address", storePort.server.address(), "form", "objects", "writes_per_s", 400L, "reads_per_s", 2000L,
                "history_s", 20L, "value_bytes", 1048576L, "min_ttl_ms", 1000L),
            "cloud", Json.of("address", storePort.server.address(), "rate_per_s", 50.0, "duties", List.of("metering", "autoscale"), "duty_per_s", 50.0));
    }

    boolean isReady() {
        try {
            return Http.call(ready(), "GET", "/readiness", 1_000, null, "Host", "ready").status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void end() {
        if (process == null) return;
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
