package org.snipewind.router.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the header in which a server says how long it keeps an idle connection. */
final class KeepAliveHeader {

    private static final Pattern TIMEOUT = Pattern.compile("timeout=([0-9]{1,6})");
    private static final long MILLIS_PER_SECOND = 1_000;

    private KeepAliveHeader() {}

    /**
     * Returns the time after which the server closes an idle connection.
     *
     * @param headers headers of a response
     * @return milliseconds, empty if the server does not say it
     */
    static OptionalLong timeoutMillis(HttpHeaders headers) {
        Matcher matcher = TIMEOUT.matcher(headers.get(HttpHeaderNames.KEEP_ALIVE, ""));
        return matcher.find()
                ? OptionalLong.of(Long.parseLong(matcher.group(1)) * MILLIS_PER_SECOND)
                : OptionalLong.empty();
    }
}
