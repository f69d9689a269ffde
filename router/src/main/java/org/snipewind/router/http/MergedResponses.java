package org.snipewind.router.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Iterator;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Recognizes what was decoded as one response but contains the beginning of another: a server broke off a response and
 * sent the next one on the same connection. The status line of the second one is then part of the first.
 */
final class MergedResponses {

    /** A protocol name without which there is no status line, cheaper to look for than the pattern. */
    private static final String PROTOCOL = "HTTP/1.";

    /** Length of the part of a status line by which it is recognized, in characters. */
    static final int STATUS_LINE_LENGTH = "HTTP/1.1 200".length();

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [0-9]{3}");

    private MergedResponses() {}

    /** Returns whether the head of a response contains the status line of another one. */
    static boolean isInHead(HttpResponse response) {
        return containsStatusLine(response.status().reasonPhrase()) || isInHeaders(response.headers());
    }

    private static boolean isInHeaders(HttpHeaders headers) {
        Iterator<Map.Entry<CharSequence, CharSequence>> entries = headers.iteratorCharSequence();
        while (entries.hasNext()) {
            Map.Entry<CharSequence, CharSequence> entry = entries.next();
            if (containsStatusLine(entry.getKey()) || containsStatusLine(entry.getValue())) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a part of a response contains a status line. */
    static boolean containsStatusLine(CharSequence text) {
        return text.toString().contains(PROTOCOL) && STATUS_LINE.matcher(text).find();
    }
}
