package org.snipewind.daemon.entry;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/** Reads the headers that callers address to the router, and removes them. */
final class CallerHeaders {

    /** Header with the organisation's key. */
    static final String KEY = "Snipewind-Key";
    /** Header with the milliseconds that remain until the caller's deadline. */
    static final String DEADLINE = "Snipewind-Deadline-Millis";

    private static final String AUTHORIZATION = "Authorization";
    private static final String BEARER = "Bearer ";
    private static final String OWN_PREFIX = "snipewind-";

    private CallerHeaders() {}

    static Optional<String> key(Map<String, List<String>> headers) {
        Optional<String> own = first(headers, KEY);
        if (own.isPresent()) {
            return own;
        }
        return first(headers, AUTHORIZATION)
                .filter(value -> value.regionMatches(true, 0, BEARER, 0, BEARER.length()))
                .map(value -> value.substring(BEARER.length()).trim());
    }

    static Optional<String> first(Map<String, List<String>> headers, String name) {
        return headers.entrySet().stream()
                .filter(entry -> entry.getKey().equalsIgnoreCase(name))
                .flatMap(entry -> entry.getValue().stream())
                .findFirst();
    }

    static OptionalLong deadlineMillis(Map<String, List<String>> headers) throws NumberFormatException {
        Optional<String> value = first(headers, DEADLINE);
        return value.isPresent() ? OptionalLong.of(Long.parseLong(value.get().trim())) : OptionalLong.empty();
    }

    /** Removes all credentials and all headers that only the router may set. */
    static Map<String, List<String>> forTarget(Map<String, List<String>> headers) {
        Map<String, List<String>> kept = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        headers.forEach((name, values) -> {
            String lower = name.toLowerCase(Locale.ROOT);
            if (!lower.startsWith(OWN_PREFIX) && !lower.equals("authorization")) {
                kept.put(name, values);
            }
        });
        return kept;
    }
}
