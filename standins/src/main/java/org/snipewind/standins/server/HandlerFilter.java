package org.snipewind.standins.server;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.ServerHttpRequest;
import io.micronaut.http.annotation.RequestFilter;
import io.micronaut.http.annotation.ServerFilter;
import io.micronaut.http.body.ByteBody;
import io.micronaut.http.server.netty.NettyHttpRequest;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Passes all requests of a server to the {@link StandInHandler} of its application context. */
@ServerFilter(ServerFilter.MATCH_ALL_PATTERN)
@Requires(beans = StandInHandler.class)
final class HandlerFilter {

    private final StandInHandler handler;

    HandlerFilter(StandInHandler handler) {
        this.handler = handler;
    }

    @RequestFilter
    CompletableFuture<HttpResponse<?>> handle(HttpRequest<?> request) {
        return ((ServerHttpRequest<?>) request)
                .byteBody()
                .split(ByteBody.SplitBackpressureMode.FASTEST)
                .buffer()
                .thenApply(body -> {
                    try (body) {
                        return body.toByteArray();
                    }
                })
                .thenCompose(body -> handler.handle(toStandInRequest(request, body)))
                .exceptionally(failure -> StandInResponse.text(500, failure.toString()))
                .thenApply(HandlerFilter::toHttpResponse);
    }

    private static StandInRequest toStandInRequest(HttpRequest<?> request, byte[] body) {
        Map<String, String> parameters = new LinkedHashMap<>();
        request.getParameters().forEach((name, values) -> parameters.put(name, values.get(0)));
        Map<String, List<String>> headers = new LinkedHashMap<>();
        for (String name : request.getHeaders().names()) {
            headers.put(name, List.copyOf(request.getHeaders().getAll(name)));
        }
        return new StandInRequest(
                request.getMethodName(),
                request.getUri().getPath(),
                request.getUri().toString(),
                parameters,
                headers,
                body,
                new NettyConnection(((NettyHttpRequest<?>) request)
                        .getChannelHandlerContext()
                        .channel()));
    }

    private static HttpResponse<?> toHttpResponse(StandInResponse response) {
        MutableHttpResponse<byte[]> httpResponse = HttpResponse.status(response.status(), "Stand-in");
        response.headers().forEach(httpResponse::header);
        return httpResponse.body(response.body());
    }
}
