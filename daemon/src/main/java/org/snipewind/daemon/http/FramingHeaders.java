package org.snipewind.daemon.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import org.snipewind.router.memory.CountingHeaders;

/**
 * Headers of a request that reject an ambiguous message length, to prevent request smuggling.
 *
 * <p>The decoder silently drops Content-Length if Transfer-Encoding is present, and treats a request with a transfer
 * coding other than chunked as one without a body. A proxy in front of the daemon may interpret such a request in
 * another way (RFC 9112, section 6.3).
 */
final class FramingHeaders extends CountingHeaders {

    /** Memory that the fields of a head may take, enough for about a thousand of them. */
    private static final long MAX_MEMORY_BYTES = 256 * 1024;

    FramingHeaders() {
        super(MAX_MEMORY_BYTES);
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        checkFraming(name, value);
        return super.add(name, value);
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        checkFraming(name, value);
        return super.add(name, value);
    }

    private void checkFraming(CharSequence name, Object value) {
        if (HttpHeaderNames.TRANSFER_ENCODING.contentEqualsIgnoreCase(name)) {
            boolean chunked = HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
                    value.toString().strip());
            if (!chunked || contains(HttpHeaderNames.CONTENT_LENGTH) || contains(name)) {
                throw new IllegalArgumentException("the end of the body is ambiguous");
            }
        } else if (HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name)
                && contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            throw new IllegalArgumentException("the end of the body is ambiguous");
        }
    }
}
