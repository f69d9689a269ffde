package org.snipewind.daemon.http;

import io.micronaut.context.annotation.Requires;
import io.micronaut.core.annotation.Nullable;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.annotation.RequestFilter;
import io.micronaut.http.annotation.ServerFilter;

/** Keeps callers' paths and operators' paths on their own listeners. */
@ServerFilter("/**")
@Requires(beans = OperatorSources.class)
public final class ListenerFilter {

    private static final String OPERATOR_PATHS = "/-/";

    private final int operatorPort;

    /**
     * Creates the filter.
     *
     * @param sources names the operators' port
     */
    public ListenerFilter(OperatorSources sources) {
        this.operatorPort = sources.operatorPort();
    }

    /**
     * Refuses a path on the wrong listener.
     *
     * @param request the request
     * @return status 404, or null to go on
     */
    @RequestFilter
    @Nullable
    public HttpResponse<?> check(HttpRequest<?> request) {
        boolean operatorPath = request.getPath().startsWith(OPERATOR_PATHS);
        boolean operatorListener = request.getServerAddress().getPort() == operatorPort;
        return operatorPath == operatorListener ? null : HttpResponse.notFound();
    }
}
