package org.snipewind.command.replay;

import java.util.List;

/**
 * Where and how a trace is replayed.
 *
 * @param addresses host and port of each entry instance; entry numbers wrap around
 * @param keyPrefix text before the organisation's name in its key
 * @param idPrefix text before the number of each request in its id, which makes ids of several runs differ
 */
public record ReplayOptions(List<String> addresses, String keyPrefix, String idPrefix) {

    /** Prefix of the keys of the sample configurations. */
    public static final String SAMPLE_KEY_PREFIX = "sample-key-";

    /** Copies the addresses. */
    public ReplayOptions {
        addresses = List.copyOf(addresses);
        if (addresses.isEmpty()) {
            throw new IllegalArgumentException("a replay needs at least one address");
        }
    }
}
