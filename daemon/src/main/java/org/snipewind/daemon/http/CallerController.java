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
import org.snipewind.clients.target.TargetAnswer;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.daemon.entry.CallerRequest;
import org.snipewind.daemon.entry.PendingOutcome;
import reactor.core.publisher.Mono;

/** Takes callers' requests on every path. */
@Controller
@Consumes(MediaType.ALL)
@Produces(MediaType.ALL)
@Requires(beans = HttpServerContext.class)
public final class CallerController {

    // Every path but those of the operators.
    private static final String ANY_PATH = "/{path:(?!-/).*}";

    private final CallerAdmission gate;
    private final RefusalResponses refusals;

    /**
     * Creates the controller.
     *
     * @param gate lets requests in
     * @param refusals writes refusals
     */
    public CallerController(CallerAdmission gate, RefusalResponses refusals) {
        this.gate = gate;
        this.refusals = refusals;
    }

    /**
     * Routes a GET request, and a HEAD request, which Micronaut maps to the same method.
     *
     * @param request the request
     * @return the answer
     */
    @Get(uris = {"/", ANY_PATH})
    public Publisher<HttpResponse<byte[]>> get(HttpRequest<?> request) {
        return route(request, null);
    }

    /**
     * Routes an OPTIONS request.
     *
     * @param request the request
     * @return the answer
     */
    @Options(uris = {"/", ANY_PATH})
    public Publisher<HttpResponse<byte[]>> options(HttpRequest<?> request) {
        return route(request, null);
    }

    /**
     * Routes a POST request.
     *
     * @param request the request
     * @param body the whole body
     * @return the answer
     */
    @Post(uris = {"/", ANY_PATH})
    public Publisher<HttpResponse<byte[]>> post(HttpRequest<?> request, @Nullable @Body byte[] body) {
        return route(request, body);
    }

    /**
     * Routes a PUT request.
     *
     * @param request the request
     * @param body the whole body
     * @return the answer
     */
    @Put(uris = {"/", ANY_PATH})
    public Publisher<HttpResponse<byte[]>> put(HttpRequest<?> request, @Nullable @Body byte[] body) {
        return route(request, body);
    }

    /**
     * Routes a PATCH request.
     *
     * @param request the request
     * @param body the whole body
     * @return the answer
     */
    @Patch(uris = {"/", ANY_PATH})
    public Publisher<HttpResponse<byte[]>> patch(HttpRequest<?> request, @Nullable @Body byte[] body) {
        return route(request, body);
    }

    /**
     * Routes a DELETE request.
     *
     * @param request the request
     * @param body the whole body
     * @return the answer
     */
    @Delete(uris = {"/", ANY_PATH})
    public Publisher<HttpResponse<byte[]>> delete(HttpRequest<?> request, @Nullable @Body byte[] body) {
        return route(request, body);
    }

    private Publisher<HttpResponse<byte[]>> route(HttpRequest<?> request, byte[] body) {
        Map<String, List<String>> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        request.getHeaders().forEach((name, values) -> headers.put(name, List.copyOf(values)));
        CallerRequest call = new CallerRequest(
                request.getMethodName(),
                request.getUri().toString(),
                request.getPath(),
                HopByHopHeaders.strip(headers),
                body == null ? new byte[0] : body);
        PendingOutcome outcome = gate.submit(call);
        return Mono.fromFuture(cancelledOnClose(request, outcome), true)
                .map(this::response)
                .doOnCancel(outcome.cancellation());
    }

    private HttpResponse<byte[]> response(Either<Refusal, TargetAnswer> outcome) {
        MutableHttpResponse<byte[]> response =
                outcome.isRight() ? answer(outcome.get()) : refusals.response(outcome.getLeft());
        if (gate.isClosing()) {
            response.header(HttpHeaders.CONNECTION, "close");
        }
        return response;
    }

    private static MutableHttpResponse<byte[]> answer(TargetAnswer answer) {
        MutableHttpResponse<byte[]> response =
                HttpResponse.<byte[]>status(answer.status(), "").body(answer.body());
        response.getHeaders().remove(HttpHeaders.CONTENT_TYPE);
        HopByHopHeaders.strip(answer.headers()).forEach((name, values) -> {
            if (!name.equalsIgnoreCase(HttpHeaders.CONTENT_LENGTH)) {
                values.forEach(value -> response.getHeaders().add(name, value));
            }
        });
        return response;
    }

    /** Cancels the work of a caller that goes away; Micronaut does not cancel a publisher that has not answered yet. */
    private static CompletableFuture<Either<Refusal, TargetAnswer>> cancelledOnClose(
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
