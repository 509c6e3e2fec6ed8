import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** An edge VM: a loopback address, settings and the process that the deploy file's command starts. */
final class Vm {
    private static final Random RANDOM = new Random();
    private static final Path ROOT = Path.of(System.getProperty("root", ".")).toAbsolutePath().normalize();

    final String name;
    final String host;
    final String zone;
    final int front;
    final int ready;
    final int control;
    final int relay;
    private final Path folder;
    private Process process;

    /** Time of the last start, signal or end, in milliseconds of [System.nanoTime]. */
    volatile long disruptedAtMs;

    Vm(String name, String zone, Path folder) throws IOException {
        this.name = name;
        this.zone = zone;
        this.folder = folder;
        host = "127." + (1 + RANDOM.nextInt(250)) + "." + (1 + RANDOM.nextInt(250)) + "." + (1 + RANDOM.nextInt(250));
        List<Integer> ports = freePorts(host, 4);
        front = ports.get(0);
        ready = ports.get(1);
        control = ports.get(2);
        relay = ports.get(3);
    }

    static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    private static List<Integer> freePorts(String host, int count) throws IOException {
        List<Integer> ports = new ArrayList<>();
        while (ports.size() < count) {
            int port = 10_000 + RANDOM.nextInt(20_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
                if (!ports.contains(port)) ports.add(port);
            } catch (BindException e) {
                // Another process has the port.
            }
        }
        return ports;
    }

    /** Starts the process with the command of the role edge, from the root of the repository. */
    void start(Platform platform, List<Vm> seeds) throws IOException {
        List<String> addresses = new ArrayList<>();
        for (Vm seed : seeds) addresses.add("\"" + seed.host + ":" + seed.control + "\"");
        String settings = "{\"node\":\"" + name + "\",\"role\":\"edge\",\"machine_class\":\"edge\","
            + "\"serves\":[\"edge\",\"control\"],\"ip\":\"" + host + "\",\"zone\":\"" + zone + "\",\"region\":\"r\","
            + "\"zones\":{\"z1\":\"r\",\"z2\":\"r\",\"z3\":\"r\"},"
            + "\"listen\":{\"front\":\"" + host + ":" + front + "\",\"ready\":\"" + host + ":" + ready
            + "\",\"control\":\"" + host + ":" + control + "\"},\"port_range\":[" + relay + "," + relay + "],"
            + "\"seeds\":[" + String.join(",", addresses) + "],\"bootstrap\":false,\"in_tolerance\":false,"
            + "\"limits\":{\"cpu_share\":0.75,\"cores\":1,\"memory_mb\":430,\"max_fds\":4100,\"link_mbps\":1000.0,"
            + "\"disk_mb\":0},\"data_dir\":null,\"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeat_ms\":1200,"
            + "\"bounds\":{\"contact_ms\":3000,\"ack_ms\":4000,\"drain_ms\":2000,\"grace_s\":8,\"loss_slack_ms\":200,"
            + "\"config_ms\":2000,\"lease_ms\":3000,\"thaw_ms\":300,\"report_window_s\":5,\"retention_s\":120,"
            + "\"cancel_ms\":3000,\"settle_ms\":1000},"
            + "\"provider\":{\"address\":\"" + platform.address() + "\",\"form\":\"objects\",\"value_bytes\":1048576},"
            + "\"cloud\":{\"address\":\"" + platform.address() + "\"}}";
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, settings);
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.directory(ROOT.toFile());
        builder.environment().put("GUAVASHORE_SETTINGS", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        disruptedAtMs = nowMs();
        process = builder.start();
        Process started = process;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    private static List<String> command() throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(ROOT.resolve("deploy/system.toml"))) {
            if (line.startsWith("[")) inRole = line.startsWith("[roles.edge]");
            if (inRole && line.startsWith("run = ")) {
                String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return Arrays.asList(run.split(" +"));
            }
        }
        throw new IOException("deploy/system.toml has no command for the role edge");
    }

    boolean isReady() {
        return Client.get(host, ready, "/readiness", "ready", List.of(), 500).status == 200;
    }

    /** Waits until the process is ready; false after [limitMs]. */
    boolean awaitReady(long limitMs) throws InterruptedException {
        long deadline = nowMs() + limitMs;
        while (nowMs() < deadline) {
            if (isReady()) return true;
            Thread.sleep(10);
        }
        return false;
    }

    void kill() throws InterruptedException {
        disruptedAtMs = nowMs();
        if (process == null) return;
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }

    /** Stops the process by SIGTERM, as the platform does; false if it has not ended after [limitMs]. */
    boolean stop(long limitMs) throws InterruptedException {
        disruptedAtMs = nowMs();
        process.destroy();
        return process.waitFor(limitMs, TimeUnit.MILLISECONDS);
    }
}
