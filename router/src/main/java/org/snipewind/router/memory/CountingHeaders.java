package org.snipewind.router.memory;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/** Headers, or trailers, that know how much memory they take: a field of few bytes takes many times as much. */
public class CountingHeaders extends DefaultHttpHeaders {

    /**
     * Memory of a field besides its characters: an entry of 40 bytes, again in the copy for the target, and the objects
     * around name and value with their arrays, 24 to 40 bytes each.
     */
    public static final int FIELD_BYTES = 200;

    private final long maxBytes;
    private long heldBytes;

    /** Creates headers whose memory the account of the connections limits. */
    public CountingHeaders() {
        this(Long.MAX_VALUE);
    }

    /**
     * Creates headers that reject fields beyond a limit.
     *
     * @param maxBytes memory that the fields may take
     */
    public CountingHeaders(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        count(name, value);
        return super.add(name, value);
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        count(name, value);
        return super.add(name, value);
    }

    private void count(CharSequence name, Object value) {
        heldBytes += FIELD_BYTES + name.length() + (value instanceof CharSequence text ? text.length() : 0);
        if (heldBytes > maxBytes) {
            throw new TooLongHttpHeaderException("the fields take more than " + maxBytes + " bytes of memory");
        }
    }

    /**
     * Returns the memory of all fields that were added.
     *
     * @return bytes
     */
    public long heldBytes() {
        return heldBytes;
    }
}
