package org.snipewind.router;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import org.snipewind.coordination.keyspace.KeyTable;
import org.snipewind.router.path.ExplainedRequest;

/**
 * The arguments of a question where a request would be sent.
 *
 * @param request the request that is asked about
 * @param json whether the answer is JSON
 */
record ExplainRouteQuery(ExplainedRequest request, boolean json) {

    private static final String HOST = "host";
    private static final String PATH = "path";
    private static final String METHOD = "method";
    private static final String HEADER = "header";
    private static final String KEY = "key";
    private static final String FORMAT = "format";
    private static final Set<String> NAMES = Set.of(HOST, PATH, METHOD, HEADER, KEY, FORMAT);

    /** Signals an argument that can't be used. */
    private static final class ArgumentException extends IllegalArgumentException {
        private static final long serialVersionUID = 1;

        ArgumentException(String name, String problem) {
            super("argument '" + name + "': " + problem);
        }
    }

    /** Reads the arguments, or returns the name of the one that can't be used and the reason. */
    static Either<String, ExplainRouteQuery> parse(Map<String, List<String>> arguments) {
        try {
            return Either.right(read(arguments));
        } catch (ArgumentException problem) {
            return Either.left(problem.getMessage());
        }
    }

    private static ExplainRouteQuery read(Map<String, List<String>> arguments) {
        arguments.forEach((name, values) -> {
            if (!NAMES.contains(name)) {
                throw new ArgumentException(name, "unknown, expected host, path, method, header, key or format");
            }
            if (values.size() > 1 && !name.equals(HEADER)) {
                throw new ArgumentException(name, "given more than once");
            }
        });
        String path = required(arguments, PATH);
        if (!path.startsWith("/")) {
            throw new ArgumentException(PATH, "expected a path that begins with /");
        }
        HttpHeaders headers = new DefaultHttpHeaders();
        arguments.getOrDefault(HEADER, List.of()).forEach(text -> addHeader(headers, text));
        try {
            headers.set(HttpHeaderNames.HOST, required(arguments, HOST));
        } catch (ArgumentException missing) {
            throw missing;
        } catch (IllegalArgumentException invalid) {
            throw new ArgumentException(HOST, "expected a host name");
        }
        ExplainedRequest request = new ExplainedRequest(method(arguments), path, headers, key(arguments));
        return new ExplainRouteQuery(request, isJson(arguments));
    }

    private static String required(Map<String, List<String>> arguments, String name) {
        String value = optional(arguments, name, "");
        if (value.isEmpty()) {
            throw new ArgumentException(name, "missing");
        }
        return value;
    }

    private static String optional(Map<String, List<String>> arguments, String name, String defaultValue) {
        return arguments.getOrDefault(name, List.of(defaultValue)).get(0);
    }

    private static void addHeader(HttpHeaders headers, String text) {
        int colon = text.indexOf(':');
        try {
            if (colon > 0) {
                headers.add(
                        text.substring(0, colon).trim(),
                        text.substring(colon + 1).trim());
                return;
            }
        } catch (IllegalArgumentException invalid) {
            // The value may be a secret, so it is not repeated.
            throw new ArgumentException(HEADER, "the name or value has characters that are not permitted");
        }
        throw new ArgumentException(HEADER, "expected a name, a colon and a value");
    }

    private static HttpMethod method(Map<String, List<String>> arguments) {
        String name = optional(arguments, METHOD, "GET");
        if (!name.matches("[A-Z]{1,20}")) {
            throw new ArgumentException(METHOD, "expected a method such as GET, got '" + name + "'");
        }
        return HttpMethod.valueOf(name);
    }

    private static OptionalInt key(Map<String, List<String>> arguments) {
        if (!arguments.containsKey(KEY)) {
            return OptionalInt.empty();
        }
        String text = optional(arguments, KEY, "");
        // Five digits can't exceed the range of the type.
        if (!text.matches("[0-9]{1,5}") || Integer.parseInt(text) > KeyTable.LAST_KEY) {
            throw new ArgumentException(
                    KEY, "expected an integer from 0 to " + KeyTable.LAST_KEY + ", got '" + text + "'");
        }
        return OptionalInt.of(Integer.parseInt(text));
    }

    private static boolean isJson(Map<String, List<String>> arguments) {
        String format = optional(arguments, FORMAT, "text");
        if (!format.equals("text") && !format.equals("json")) {
            throw new ArgumentException(FORMAT, "expected text or json, got '" + format + "'");
        }
        return format.equals("json");
    }
}
