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
import org.snipewind.router.metrics.RouterMetrics;

/** Writes refusals as HTTP answers, all in the same form. */
@Singleton
@Requires(beans = HttpServerContext.class)
public final class RefusalResponses {

    private static final long MILLIS_PER_SECOND = 1_000;

    private final ObjectMapper mapper;
    private final RouterMetrics metrics;

    /**
     * Creates the writer.
     *
     * @param mapper writes bodies as JSON
     * @param sources gives the metrics
     */
    public RefusalResponses(ObjectMapper mapper, HttpServerContext sources) {
        this.mapper = mapper;
        this.metrics = sources.metrics();
    }

    /**
     * Writes a refusal that was counted where it arose.
     *
     * @param refusal the refusal
     * @return the HTTP answer
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
     * Counts and writes a refusal that arose before the gate.
     *
     * @param refusal the refusal
     * @return the HTTP answer
     */
    public MutableHttpResponse<byte[]> counted(Refusal refusal) {
        metrics.countRefusal(refusal.kind());
        return response(refusal);
    }
}
