package org.snipewind.daemon.settings;

/**
 * An address on which the daemon listens.
 *
 * @param host IP number
 * @param port TCP port, 0 for any free one
 */
public record Endpoint(String host, int port) {

    /**
     * Gives the address as one word.
     *
     * @return host and port joined by a colon
     */
    public String address() {
        return host + ":" + port;
    }
}
