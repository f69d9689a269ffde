package org.snipewind.clients.target;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Removes the headers that concern a single connection and not the message (RFC 9110, section 7.6.1). */
public final class HopByHopHeaders {

    private static final String CONNECTION = "connection";
    private static final Set<String> NAMES =
            Set.of(CONNECTION, "keep-alive", "te", "trailer", "transfer-encoding", "upgrade");

    private HopByHopHeaders() {}

    /**
     * Returns whether a header is hop-by-hop by its name.
     *
     * @param name name of the header in any case
     * @return true if the header is never passed on
     */
    public static boolean isHopByHop(String name) {
        String lowerCase = name.toLowerCase(Locale.ROOT);
        return NAMES.contains(lowerCase) || lowerCase.startsWith("proxy-");
    }

    /**
     * Removes all hop-by-hop headers, including those that a Connection header names.
     *
     * @param headers headers of a message
     * @return the remaining headers with all their values, in the same order
     */
    public static Map<String, List<String>> strip(Map<String, List<String>> headers) {
        Set<String> named = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        headers.forEach((name, values) -> {
            if (name.equalsIgnoreCase(CONNECTION)) {
                values.forEach(value -> addTokens(value, named));
            }
        });
        Map<String, List<String>> remaining = new LinkedHashMap<>();
        headers.forEach((name, values) -> {
            if (!isHopByHop(name) && !named.contains(name)) {
                remaining.put(name, List.copyOf(values));
            }
        });
        return remaining;
    }

    private static void addTokens(String value, Set<String> names) {
        for (String token : value.split(",", -1)) {
            names.add(token.strip());
        }
    }
}
