package org.snipewind.daemon.http;

import io.micronaut.context.annotation.Requires;
import io.micronaut.core.annotation.Nullable;
import io.micronaut.http.HttpHeaders;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Delete;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Options;
import io.micronaut.http.annotation.Patch;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Produces;
import io.micronaut.http.annotation.Put;
import io.micronaut.http.server.netty.NettyHttpRequest;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.reactivestreams.Publisher;
import org.snipewind.clients.target.HopByHopHeaders;
import org.snipewind.clients.target.TargetResponse;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.daemon.entry.CallerRequest;
import org.snipewind.daemon.entry.PendingOutcome;
import reactor.core.publisher.Mono;

/** Receives callers' requests on all paths except those of the operators. */
@Controller
@Consumes(MediaType.ALL)
@Produces(MediaType.ALL)
@Requires(beans = HttpServerContext.class)
public final class CallerController {

    // All paths except those of the operators, which start with "/-/".
    private static final String ANY_PATH = "/{path:(?!-/).*}";

    private final CallerAdmission admission;
    private final RefusalResponses refusals;

    /**
     * Creates the controller.
     *
     * @param admission admits requests within the limits of the daemon
     * @param refusals creates the responses to refused requests
     */
    public CallerController(CallerAdmission admission, RefusalResponses refusals) {
        this.admission = admission;
        this.refusals = refusals;
    }

    /**
     * Routes a GET request, or a HEAD request, which Micronaut maps to the same method.
     *
     * @param request the request
     * @return the response
     */
    @Get(uris = {"/", ANY_PATH})
    public Publisher<HttpResponse<byte[]>> get(HttpRequest<?> request) {
        return route(request, null);
    }

    /**
     * Routes an OPTIONS request.
     *
     * @param request the request
     * @return the response
     */
    @Options(uris = {"/", ANY_PATH})
    public Publisher<HttpResponse<byte[]>> options(HttpRequest<?> request) {
        return route(request, null);
    }

    /**
     * Routes a POST request.
     *
     * @param request the request
     * @param body the complete body, null if there is none
     * @return the response
     */
    @Post(uris = {"/", ANY_PATH})
    public Publisher<HttpResponse<byte[]>> post(HttpRequest<?> request, @Nullable @Body byte[] body) {
        return route(request, body);
    }

    /**
     * Routes a PUT request.
     *
     * @param request the request
     * @param body the complete body, null if there is none
     * @return the response
     */
    @Put(uris = {"/", ANY_PATH})
    public Publisher<HttpResponse<byte[]>> put(HttpRequest<?> request, @Nullable @Body byte[] body) {
        return route(request, body);
    }

    /**
     * Routes a PATCH request.
     *
     * @param request the request
     * @param body the complete body, null if there is none
     * @return the response
     */
    @Patch(uris = {"/", ANY_PATH})
    public Publisher<HttpResponse<byte[]>> patch(HttpRequest<?> request, @Nullable @Body byte[] body) {
        return route(request, body);
    }

    /**
     * Routes a DELETE request.
     *
     * @param request the request
     * @param body the complete body, null if there is none
     * @return the response
     */
    @Delete(uris = {"/", ANY_PATH})
    public Publisher<HttpResponse<byte[]>> delete(HttpRequest<?> request, @Nullable @Body byte[] body) {
        return route(request, body);
    }

    private Publisher<HttpResponse<byte[]>> route(HttpRequest<?> request, byte[] body) {
        Map<String, List<String>> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        request.getHeaders().forEach((name, values) -> headers.put(name, List.copyOf(values)));
        CallerRequest callerRequest = new CallerRequest(
                request.getMethodName(),
                request.getUri().toString(),
                request.getPath(),
                HopByHopHeaders.strip(headers),
                body == null ? new byte[0] : body);
        PendingOutcome outcome = admission.submit(callerRequest);
        return Mono.fromFuture(cancelOnDisconnect(request, outcome), true)
                .map(this::response)
                .doOnCancel(outcome.cancellation());
    }

    private HttpResponse<byte[]> response(Either<Refusal, TargetResponse> outcome) {
        MutableHttpResponse<byte[]> response =
                outcome.isRight() ? toHttpResponse(outcome.get()) : refusals.response(outcome.getLeft());
        if (admission.isClosing()) {
            response.header(HttpHeaders.CONNECTION, "close");
        }
        return response;
    }

    private static MutableHttpResponse<byte[]> toHttpResponse(TargetResponse targetResponse) {
        MutableHttpResponse<byte[]> response =
                HttpResponse.<byte[]>status(targetResponse.status(), "").body(targetResponse.body());
        response.getHeaders().remove(HttpHeaders.CONTENT_TYPE);
        HopByHopHeaders.strip(targetResponse.headers()).forEach((name, values) -> {
            if (!name.equalsIgnoreCase(HttpHeaders.CONTENT_LENGTH)) {
                values.forEach(value -> response.getHeaders().add(name, value));
            }
        });
        return response;
    }

    /**
     * Cancels a request when its caller disconnects. Micronaut does not cancel a publisher that has not emitted its
     * response yet.
     */
    private static CompletableFuture<Either<Refusal, TargetResponse>> cancelOnDisconnect(
            HttpRequest<?> request, PendingOutcome outcome) {
        if (!(request instanceof NettyHttpRequest<?> nettyRequest)) {
            return outcome.result();
        }
        ChannelFuture closed = nettyRequest.getChannelHandlerContext().channel().closeFuture();
        ChannelFutureListener cancellation = future -> outcome.cancellation().run();
        closed.addListener(cancellation);
        return outcome.result().whenComplete((result, failure) -> closed.removeListener(cancellation));
    }
}
