package org.snipewind.daemon.settings;

/**
 * An address on which the daemon listens.
 *
 * @param host IP address
 * @param port TCP port, 0 for any free port
 */
public record Endpoint(String host, int port) {

    /**
     * Returns the address as one string.
     *
     * @return host and port, separated by a colon
     */
    public String address() {
        return host + ":" + port;
    }
}
