package org.snipewind.daemon.entry;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/** Reads the request headers meant for the router, and removes them before a request is sent to a target. */
final class CallerHeaders {

    /** Header with the organisation's key. */
    static final String ORGANISATION_KEY = "Snipewind-Key";
    /** Header with the time until the caller's deadline in milliseconds. */
    static final String DEADLINE = "Snipewind-Deadline-Millis";

    private static final String AUTHORIZATION = "Authorization";
    private static final String BEARER = "Bearer ";
    private static final String ROUTER_PREFIX = "snipewind-";

    private CallerHeaders() {}

    /** Returns the organisation's key from the router's own header, or else from a bearer token. */
    static Optional<String> organisationKey(Map<String, List<String>> headers) {
        Optional<String> routerHeader = firstValue(headers, ORGANISATION_KEY);
        if (routerHeader.isPresent()) {
            return routerHeader;
        }
        return firstValue(headers, AUTHORIZATION)
                .filter(value -> value.regionMatches(true, 0, BEARER, 0, BEARER.length()))
                .map(value -> value.substring(BEARER.length()).trim());
    }

    static Optional<String> firstValue(Map<String, List<String>> headers, String name) {
        return headers.entrySet().stream()
                .filter(entry -> entry.getKey().equalsIgnoreCase(name))
                .flatMap(entry -> entry.getValue().stream())
                .findFirst();
    }

    static OptionalLong deadlineMillis(Map<String, List<String>> headers) throws NumberFormatException {
        Optional<String> value = firstValue(headers, DEADLINE);
        return value.isPresent() ? OptionalLong.of(Long.parseLong(value.get().trim())) : OptionalLong.empty();
    }

    /** Returns the headers for a target, without credentials and without those that only the router may set. */
    static Map<String, List<String>> forTarget(Map<String, List<String>> headers) {
        Map<String, List<String>> kept = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        headers.forEach((name, values) -> {
            String lower = name.toLowerCase(Locale.ROOT);
            if (!lower.startsWith(ROUTER_PREFIX) && !lower.equals("authorization")) {
                kept.put(name, values);
            }
        });
        return kept;
    }
}
