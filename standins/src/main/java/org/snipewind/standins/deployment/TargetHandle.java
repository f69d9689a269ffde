package org.snipewind.standins.deployment;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.snipewind.clients.transport.HttpAnswer;
import org.snipewind.clients.transport.HttpTransport;
import org.snipewind.clients.transport.JsonCodec;
import org.snipewind.standins.process.ChildProcess;
import org.snipewind.standins.target.ExecutionRecord;
import org.snipewind.standins.target.GrantInterval;
import org.snipewind.standins.target.TargetFaults;
import org.snipewind.standins.target.TargetStandInReport;

/** A target of a deployment. */
public final class TargetHandle {

    private static final long TIMEOUT_MILLIS = 20_000;

    private final String pool;
    private final String dataCentre;
    private final TargetSpecification specification;
    private final boolean separate;
    private final HttpTransport transport;
    private volatile ChildProcess process;

    TargetHandle(
            String pool,
            String dataCentre,
            TargetSpecification specification,
            boolean separate,
            HttpTransport transport) {
        this.pool = pool;
        this.dataCentre = dataCentre;
        this.specification = specification;
        this.separate = separate;
        this.transport = transport;
    }

    /**
     * Gives the name of the target.
     *
     * @return the name
     */
    public String name() {
        return specification.options().name();
    }

    /**
     * Gives the pool.
     *
     * @return its name
     */
    public String pool() {
        return pool;
    }

    /**
     * Gives the data centre.
     *
     * @return its name
     */
    public String dataCentre() {
        return dataCentre;
    }

    /**
     * Gives the address of the target.
     *
     * @return host and port
     */
    public String address() {
        return "127.0.0.1:" + specification.port();
    }

    /**
     * Tells whether the target has a process of its own.
     *
     * @return true if it can be killed and paused
     */
    public boolean hasOwnProcess() {
        return separate;
    }

    /** Ends the process of the target at once; its records are lost. */
    public void kill() {
        own().kill();
        own().awaitExit(Duration.ofSeconds(10));
    }

    /** Freezes the process of the target. */
    public void pause() {
        own().pause();
    }

    /** Lets the frozen process of the target go on. */
    public void resume() {
        own().resume();
    }

    /**
     * Replaces the faults of the target.
     *
     * @param faults faults from now on
     */
    public void setFaults(TargetFaults faults) {
        exchange("PUT", "/control", JsonCodec.encode(faults));
    }

    /** Starts a cold start. */
    public void startColdStart() {
        exchange("POST", "/control/cold", new byte[0]);
    }

    /** Makes the target forget its grants as after a restart. */
    public void forgetGrants() {
        exchange("POST", "/control/forget", new byte[0]);
    }

    /**
     * Reads the state of the target.
     *
     * @return the report
     */
    public TargetStandInReport report() {
        return JsonCodec.decode(exchange("GET", "/control", new byte[0]).body(), TargetStandInReport.class);
    }

    /**
     * Reads all executions since the start of the process.
     *
     * @return the executions
     */
    public List<ExecutionRecord> executions() {
        return lines("/control/records", ExecutionRecord.class);
    }

    /**
     * Reads all times during which the target held slices.
     *
     * @return the intervals
     */
    public List<GrantInterval> grantIntervals() {
        return lines("/control/grants", GrantInterval.class);
    }

    TargetSpecification specification() {
        return specification;
    }

    void runs(ChildProcess started) {
        process = started;
    }

    private ChildProcess own() {
        if (!separate) {
            throw new IllegalStateException(name() + " shares its process with other targets");
        }
        return process;
    }

    private <T> List<T> lines(String path, Class<T> type) {
        String text = new String(exchange("GET", path, new byte[0]).body(), StandardCharsets.UTF_8);
        return text.lines()
                .map(line -> JsonCodec.decode(line.getBytes(StandardCharsets.UTF_8), type))
                .toList();
    }

    private HttpAnswer exchange(String method, String path, byte[] body) {
        Map<String, List<String>> headers =
                body.length == 0 ? Map.of() : Map.of("Content-Type", List.of("application/json"));
        HttpAnswer answer = transport
                .exchange(method, URI.create("http://" + address() + path), headers, body, TIMEOUT_MILLIS)
                .join();
        if (answer.status() >= 300) {
            throw new IllegalStateException(name() + " answered " + path + " with status " + answer.status());
        }
        return answer;
    }
}
