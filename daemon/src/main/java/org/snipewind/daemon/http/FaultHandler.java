package org.snipewind.daemon.http;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Error;
import io.micronaut.http.exceptions.ContentLengthExceededException;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.daemon.metrics.DaemonMetrics;

/** Answers requests that fail before they reach the router, in the same form as every refusal. */
@Controller
@Requires(beans = OperatorSources.class)
public final class FaultHandler {

    private final DaemonMetrics metrics;

    /**
     * Creates the handler.
     *
     * @param sources gives the metrics
     */
    public FaultHandler(OperatorSources sources) {
        this.metrics = sources.metrics();
    }

    /**
     * Refuses a body above the limit.
     *
     * @param request the request
     * @param fault the fault
     * @return status 413
     */
    @Error(global = true)
    public HttpResponse<RefusalBody> tooLarge(HttpRequest<?> request, ContentLengthExceededException fault) {
        return refuse(ErrorKind.REQUEST_TOO_LARGE, fault.getMessage());
    }

    private HttpResponse<RefusalBody> refuse(ErrorKind kind, String detail) {
        metrics.countRefusal(kind);
        String execution = kind.execution().wireName();
        return HttpResponse.<RefusalBody>status(kind.status(), kind.wireName())
                .body(new RefusalBody(kind.wireName(), execution, detail))
                .header("Snipewind-Error", kind.wireName())
                .header("Snipewind-Execution", execution);
    }
}
