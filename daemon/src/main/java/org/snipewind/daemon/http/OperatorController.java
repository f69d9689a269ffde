package org.snipewind.daemon.http;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Produces;
import java.util.Map;
import java.util.function.Supplier;
import org.snipewind.clients.status.DaemonStatus;
import org.snipewind.daemon.DaemonCore;
import org.snipewind.router.metrics.ProcessMetrics;
import org.snipewind.router.metrics.PrometheusText;

/** Serves readiness, liveness, status and metrics to operators and the load balancer. */
@Controller("/-")
@Requires(beans = HttpServerContext.class)
public final class OperatorController {

    private final Supplier<DaemonCore> core;
    private final CallerAdmission admission;
    private final ProcessMetrics metrics;

    /**
     * Creates the controller.
     *
     * @param context supplies the state that the endpoints show
     */
    public OperatorController(HttpServerContext context) {
        this.core = context.core();
        this.admission = context.admission();
        this.metrics = context.metrics();
    }

    /**
     * Returns to the load balancer whether to send callers to this daemon.
     *
     * @return status 200 if ready, else 503
     */
    @Get("/ready")
    @Produces(MediaType.TEXT_PLAIN)
    public HttpResponse<String> ready() {
        return core.get().readiness().isReady()
                ? HttpResponse.ok("ready\n")
                : HttpResponse.<String>status(HttpStatus.SERVICE_UNAVAILABLE).body("not ready\n");
    }

    /**
     * Shows that the process responds.
     *
     * @return status 200
     */
    @Get("/live")
    @Produces(MediaType.TEXT_PLAIN)
    public HttpResponse<String> live() {
        return HttpResponse.ok("live\n");
    }

    /**
     * Returns the status of the daemon.
     *
     * @return the status as JSON
     */
    @Get("/status")
    public DaemonStatus status() {
        return core.get().status(admission.inFlight());
    }

    /**
     * Returns all metrics in the Prometheus text format.
     *
     * @return the text
     */
    @Get("/metrics")
    @Produces(MediaType.TEXT_PLAIN)
    public String metrics() {
        return PrometheusText.write(metrics.registry());
    }

    /**
     * Returns all metrics as JSON.
     *
     * @return values by metric name
     */
    @Get("/metrics.json")
    public Map<String, Object> metricsJson() {
        return PrometheusText.values(metrics.registry());
    }
}
