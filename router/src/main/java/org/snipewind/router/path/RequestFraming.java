package org.snipewind.router.path;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.Optional;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.routing.CallerLimits;

/** How the end of a caller's request is found. */
final class RequestFraming {

    private RequestFraming() {}

    /**
     * Returns whether the router and a target could disagree on where the request ends: with two framings or an unknown
     * transfer coding, a second request could be smuggled in.
     */
    private static boolean isAmbiguous(HttpRequest request) {
        HttpHeaders headers = request.headers();
        return isChunked(request)
                        && !HttpHeaderValues.CHUNKED
                                .toString()
                                .equalsIgnoreCase(headers.get(HttpHeaderNames.TRANSFER_ENCODING))
                || headers.getAll(HttpHeaderNames.TRANSFER_ENCODING).size() > 1
                || headers.getAll(HttpHeaderNames.HOST).size() > 1;
    }

    /** Returns why a request is refused before its body is received, empty if it is not. */
    static Optional<ErrorKind> refusalOf(HttpRequest request, CallerLimits limits) {
        if (request.decoderResult().isFailure()) {
            return Optional.of(kindOf(request.decoderResult().cause()));
        }
        if (isAmbiguous(request)) {
            return Optional.of(ErrorKind.MALFORMED_REQUEST);
        }
        return announcedBodyBytes(request) > limits.maxBodyBytes()
                ? Optional.of(ErrorKind.REQUEST_TOO_LARGE)
                : Optional.empty();
    }

    /** Returns the announced length of the body, -1 if the body is sent in chunks. */
    static long announcedBodyBytes(HttpRequest request) {
        return isChunked(request) ? -1 : HttpUtil.getContentLength(request, 0L);
    }

    /** Returns how a request is refused that can't be decoded. */
    static ErrorKind kindOf(Throwable cause) {
        boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        return tooLong ? ErrorKind.HEADERS_TOO_LARGE : ErrorKind.MALFORMED_REQUEST;
    }

    private static boolean isChunked(HttpRequest request) {
        return request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
    }
}
