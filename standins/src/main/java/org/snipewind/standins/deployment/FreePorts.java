package org.snipewind.standins.deployment;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/** Finds free TCP ports and returns each at most once. */
final class FreePorts {

    // The range lies below the ephemeral ports that the operating system assigns to outgoing connections.
    private static final int LOWEST_PORT = 12_000;
    private static final int PORT_COUNT = 20_000;

    private final Random random = new Random();
    private final Set<Integer> issuedPorts = new HashSet<>();

    int nextFreePort() {
        while (true) {
            int port = LOWEST_PORT + random.nextInt(PORT_COUNT);
            if (issuedPorts.add(port) && isFree(port)) {
                return port;
            }
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
