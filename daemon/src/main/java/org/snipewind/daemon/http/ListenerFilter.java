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

/** Refuses operators' paths on the callers' listener, and callers' paths on the operators' listener. */
@ServerFilter("/**")
@Requires(beans = HttpServerContext.class)
public final class ListenerFilter {

    private static final String OPERATOR_PATHS = "/-/";

    private final int operatorPort;
    private final RefusalResponses refusals;

    /**
     * Creates the filter.
     *
     * @param context supplies the operators' port
     * @param refusals creates the responses to refused requests
     */
    public ListenerFilter(HttpServerContext context, RefusalResponses refusals) {
        this.operatorPort = context.operatorPort();
        this.refusals = refusals;
    }

    /**
     * Refuses a path on the wrong listener, and a request target that is not a path.
     *
     * @param request the request
     * @return the refusal, or null to process the request further
     */
    @RequestFilter
    @Nullable
    public HttpResponse<?> refuseOnWrongListener(HttpRequest<?> request) {
        if (!isPath(request)) {
            return refusals.countAndRespond(
                    Refusal.of(ErrorKind.MALFORMED_REQUEST, "the request target must be a path"));
        }
        boolean operatorPath = request.getPath().startsWith(OPERATOR_PATHS);
        boolean operatorListener = request.getServerAddress().getPort() == operatorPort;
        return operatorPath == operatorListener
                ? null
                : refusals.countAndRespond(Refusal.of(ErrorKind.ROUTE_UNKNOWN, "this listener has no such path"));
    }

    // The standard URI parser treats "//a/b" as host and path, so the routed path would differ from the sent one.
    private static boolean isPath(HttpRequest<?> request) {
        String target = request instanceof NettyHttpRequest<?> nettyRequest
                ? nettyRequest.getNativeRequest().uri()
                : request.getUri().toString();
        return target.startsWith("/") && !target.startsWith("//");
    }
}
