package org.snipewind.standins.deployment;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/** Finds ports on which nothing listens. */
final class FreePorts {

    // Below the range from which the system takes ports of outgoing connections.
    private static final int LOWEST = 12_000;
    private static final int COUNT = 20_000;

    private final Random random = new Random();
    private final Set<Integer> given = new HashSet<>();

    int next() {
        while (true) {
            int port = LOWEST + random.nextInt(COUNT);
            if (given.add(port) && isFree(port)) {
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
