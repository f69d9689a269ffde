package org.snipewind.daemon.http;

import io.micronaut.context.annotation.Requires;
import io.micronaut.core.annotation.Nullable;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.annotation.RequestFilter;
import io.micronaut.http.annotation.ServerFilter;
import io.micronaut.http.server.netty.NettyHttpRequest;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Refusal;

/** Keeps callers' paths and operators' paths on their own listeners. */
@ServerFilter("/**")
@Requires(beans = HttpServerContext.class)
public final class ListenerFilter {

    private static final String OPERATOR_PATHS = "/-/";

    private final int operatorPort;
    private final RefusalResponses refusals;

    /**
     * Creates the filter.
     *
     * @param sources names the operators' port
     * @param refusals writes refusals
     */
    public ListenerFilter(HttpServerContext sources, RefusalResponses refusals) {
        this.operatorPort = sources.operatorPort();
        this.refusals = refusals;
    }

    /**
     * Refuses a path on the wrong listener, and a request target that is not a path.
     *
     * @param request the request
     * @return the refusal, or null to go on
     */
    @RequestFilter
    @Nullable
    public HttpResponse<?> check(HttpRequest<?> request) {
        if (!isPath(request)) {
            return refusals.counted(Refusal.of(ErrorKind.MALFORMED_REQUEST, "the request target must be a path"));
        }
        boolean operatorPath = request.getPath().startsWith(OPERATOR_PATHS);
        boolean operatorListener = request.getServerAddress().getPort() == operatorPort;
        return operatorPath == operatorListener
                ? null
                : refusals.counted(Refusal.of(ErrorKind.ROUTE_UNKNOWN, "this listener has no such path"));
    }

    // The standard parser takes "//a/b" for host and path, so the path routed would differ from the one sent.
    private static boolean isPath(HttpRequest<?> request) {
        String target = request instanceof NettyHttpRequest<?> nettyRequest
                ? nettyRequest.getNativeRequest().uri()
                : request.getUri().toString();
        return target.startsWith("/") && !target.startsWith("//");
    }
}
