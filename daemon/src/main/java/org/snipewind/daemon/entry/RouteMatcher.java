package org.snipewind.daemon.entry;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.snipewind.clients.configuration.FleetConfiguration;
import org.snipewind.clients.configuration.KeySource;
import org.snipewind.clients.configuration.RouteSettings;

/** Finds the route of a request, and the key of the request by the rule of the route. */
final class RouteMatcher {

    private RouteMatcher() {}

    /** Finds the route with the longest prefix of a path; prefixes match whole path segments only. */
    static Optional<Map.Entry<String, RouteSettings>> findRoute(FleetConfiguration configuration, String path) {
        Map.Entry<String, RouteSettings> longest = null;
        for (Map.Entry<String, RouteSettings> route : configuration.routes().entrySet()) {
            String prefix = route.getValue().path();
            if (matches(prefix, path)
                    && (longest == null
                            || prefix.length() > longest.getValue().path().length())) {
                longest = route;
            }
        }
        return Optional.ofNullable(longest);
    }

    /** Returns the key of a request, or empty if it is missing or empty. */
    static Optional<String> requestKey(KeySource source, CallerRequest request) {
        Optional<String> key = switch (source.kind()) {
            case HEADER -> CallerHeaders.firstValue(request.headers(), source.name());
            case PATH -> pathSegment(request.path(), Integer.parseInt(source.name()));
            case QUERY -> queryParameter(request.uri(), source.name());
        };
        return key.filter(value -> !value.isEmpty());
    }

    private static boolean matches(String prefix, String path) {
        return prefix.equals("/") || path.equals(prefix) || path.startsWith(prefix + "/");
    }

    private static Optional<String> pathSegment(String path, int number) {
        List<String> segments =
                Arrays.stream(path.split("/")).filter(part -> !part.isEmpty()).toList();
        return number <= segments.size() ? Optional.of(segments.get(number - 1)) : Optional.empty();
    }

    private static Optional<String> queryParameter(String uri, String name) {
        int start = uri.indexOf('?');
        if (start < 0) {
            return Optional.empty();
        }
        return Arrays.stream(uri.substring(start + 1).split("&"))
                .filter(parameter -> parameter.startsWith(name + "="))
                .findFirst()
                .flatMap(parameter -> decode(parameter.substring(name.length() + 1)));
    }

    /** Decodes a percent-encoded value; one with a malformed escape counts as missing. */
    private static Optional<String> decode(String value) {
        try {
            return Optional.of(URLDecoder.decode(value, StandardCharsets.UTF_8));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
