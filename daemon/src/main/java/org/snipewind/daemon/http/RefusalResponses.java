package org.snipewind.daemon.http;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpHeaders;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.serde.ObjectMapper;
import jakarta.inject.Singleton;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.router.metrics.ProcessMetrics;

/** Creates the HTTP responses to refused requests, all in the same format. */
@Singleton
@Requires(beans = HttpServerContext.class)
public final class RefusalResponses {

    private static final long MILLIS_PER_SECOND = 1_000;

    private final ObjectMapper mapper;
    private final ProcessMetrics metrics;

    /**
     * Creates the factory of responses.
     *
     * @param mapper writes bodies as JSON
     * @param context supplies the metrics
     */
    public RefusalResponses(ObjectMapper mapper, HttpServerContext context) {
        this.mapper = mapper;
        this.metrics = context.metrics();
    }

    /**
     * Creates the response for a refusal that is already counted.
     *
     * @param refusal the refusal
     * @return the HTTP response
     */
    public MutableHttpResponse<byte[]> response(Refusal refusal) {
        String kind = refusal.kind().wireName();
        String execution = refusal.kind().execution().wireName();
        byte[] body;
        try {
            body = mapper.writeValueAsBytes(new RefusalBody(kind, execution, refusal.detail()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        MutableHttpResponse<byte[]> response = HttpResponse.<byte[]>status(
                        refusal.kind().status(), kind)
                .body(body)
                .contentType(MediaType.APPLICATION_JSON_TYPE)
                .header("Snipewind-Error", kind)
                .header("Snipewind-Execution", execution);
        refusal.retryAfterMillis()
                .ifPresent(millis -> response.header(
                        HttpHeaders.RETRY_AFTER, String.valueOf((millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND)));
        return response;
    }

    /**
     * Counts a refusal that occurred before the admission of the request, and creates its response.
     *
     * @param refusal the refusal
     * @return the HTTP response
     */
    public MutableHttpResponse<byte[]> countAndRespond(Refusal refusal) {
        metrics.countRefusal(refusal.kind());
        return response(refusal);
    }
}
