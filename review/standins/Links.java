import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Links between VMs that pass proxies; their names are FROM>TO. */
final class Links {
    private Links() {}

    /**
     * Starts all VMs; the seeds of each are proxies of the others, one for each direction of each pair. A VM also learns
     * the real addresses of its peers. It calls a peer on the first link of its map that leads there, so a port is
     * chosen for each proxy that comes first.
     */
    static Map<String, Proxy> start(Deployment deployment) throws IOException {
        Map<String, Proxy> links = new HashMap<>();
        int port = Integer.parseInt(deployment.vms.get(0).front().split(":")[1]) + 10;
        for (Vm from : deployment.vms) {
            List<String> seeds = new ArrayList<>();
            for (Vm to : deployment.vms) {
                if (to == from) continue;
                Proxy proxy = null;
                while (proxy == null) {
                    port++;
                    if (bucket("127.0.0.1:" + port) > bucket(to.control())) continue;
                    try {
                        proxy = new Proxy(port, to.control());
                    } catch (IOException inUse) {
                        // The next port is tried.
                    }
                }
                links.put(from.name + ">" + to.name, proxy);
                seeds.add("127.0.0.1:" + port);
            }
            from.start(seeds);
        }
        return links;
    }

    /** Position of a key in a small hash map. */
    private static int bucket(String key) {
        int hash = key.hashCode();
        return (hash ^ (hash >>> 16)) & 15;
    }
}
