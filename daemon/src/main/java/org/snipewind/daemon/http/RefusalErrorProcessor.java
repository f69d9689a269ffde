package org.snipewind.daemon.http;

import io.micronaut.context.annotation.Primary;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpHeaders;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.server.exceptions.response.ErrorContext;
import io.micronaut.http.server.exceptions.response.ErrorResponseProcessor;
import jakarta.inject.Singleton;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.daemon.log.EventLog;
import org.snipewind.daemon.log.LogEvent;

/** Converts the error responses of Micronaut itself into the format of refusals. */
@Primary
@Singleton
@Requires(beans = HttpServerContext.class)
public final class RefusalErrorProcessor implements ErrorResponseProcessor<byte[]> {

    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int CONTENT_TOO_LARGE = 413;
    private static final int FIRST_SERVER_ERROR = 500;

    private final RefusalResponses refusals;
    private final EventLog log;

    /**
     * Creates the processor.
     *
     * @param refusals creates the responses
     * @param context supplies the log
     */
    public RefusalErrorProcessor(RefusalResponses refusals, HttpServerContext context) {
        this.refusals = refusals;
        this.log = context.log();
    }

    @Override
    public MutableHttpResponse<byte[]> processResponse(ErrorContext context, MutableHttpResponse<?> response) {
        Refusal refusal = toRefusal(response.code());
        if (refusal.kind() == ErrorKind.INTERNAL) {
            // The path is not logged, because it may contain confidential data of the caller.
            String detail = context.getRequest().getMethodName() + " request";
            context.getRootCause()
                    .ifPresentOrElse(
                            cause -> log.write(LogEvent.REQUEST_FAULT, detail, cause),
                            () -> log.write(LogEvent.REQUEST_FAULT, detail));
        }
        MutableHttpResponse<byte[]> refusalResponse = refusals.countAndRespond(refusal);
        response.getHeaders()
                .getAll(HttpHeaders.ALLOW)
                .forEach(methods -> refusalResponse.getHeaders().add(HttpHeaders.ALLOW, methods));
        return refusalResponse;
    }

    private static Refusal toRefusal(int status) {
        if (status >= FIRST_SERVER_ERROR) {
            return Refusal.of(ErrorKind.INTERNAL, "the daemon failed on this request");
        }
        return switch (status) {
            case NOT_FOUND -> Refusal.of(ErrorKind.ROUTE_UNKNOWN, "no route has this path");
            case METHOD_NOT_ALLOWED ->
                Refusal.of(ErrorKind.METHOD_UNSUPPORTED, "requests with this method are not routed");
            case CONTENT_TOO_LARGE -> Refusal.of(ErrorKind.REQUEST_TOO_LARGE, "the body exceeds the limit");
            default -> Refusal.of(ErrorKind.MALFORMED_REQUEST, "the request is not valid HTTP");
        };
    }
}
