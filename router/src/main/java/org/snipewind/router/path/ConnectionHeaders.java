package org.snipewind.router.path;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** The hop-by-hop headers, which apply to one connection only and are not forwarded (RFC 9110, section 7.6.1). */
final class ConnectionHeaders {

    private static final List<CharSequence> NAMES = List.of(
            HttpHeaderNames.CONNECTION,
            "Keep-Alive",
            HttpHeaderNames.PROXY_CONNECTION,
            HttpHeaderNames.PROXY_AUTHENTICATE,
            HttpHeaderNames.PROXY_AUTHORIZATION,
            HttpHeaderNames.TE,
            HttpHeaderNames.TRAILER,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.UPGRADE,
            HttpHeaderNames.EXPECT);

    private ConnectionHeaders() {}

    /** Returns the headers that are forwarded; without a copy if the connection has no options. */
    static HttpHeaders endToEnd(HttpHeaders headers) {
        if (!headers.contains(HttpHeaderNames.CONNECTION)) {
            return headers;
        }
        HttpHeaders forwarded = headers.copy();
        remove(forwarded);
        return forwarded;
    }

    static void remove(HttpHeaders headers) {
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                if (!name.isBlank()) {
                    headers.remove(name.trim());
                }
            }
        }
        NAMES.forEach(headers::remove);
    }
}
