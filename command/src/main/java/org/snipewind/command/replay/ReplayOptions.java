package org.snipewind.command.replay;

import java.util.List;

/**
 * Options of a replay.
 *
 * @param addresses host and port of each entry instance; the entry number of a request selects one of them, modulo
 *     their number
 * @param keyPrefix prefix that is put before an organisation's name to form its access key
 * @param idPrefix prefix that is put before the number of a request to form its id; it keeps the ids of several runs
 *     apart
 */
public record ReplayOptions(List<String> addresses, String keyPrefix, String idPrefix) {

    /** Prefix of the access keys in the sample configurations. */
    public static final String SAMPLE_KEY_PREFIX = "sample-key-";

    /** Copies the addresses and checks that there is at least one. */
    public ReplayOptions {
        addresses = List.copyOf(addresses);
        if (addresses.isEmpty()) {
            throw new IllegalArgumentException("a replay needs at least one address");
        }
    }
}
