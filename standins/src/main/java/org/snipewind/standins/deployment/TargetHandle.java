package org.snipewind.standins.deployment;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.snipewind.clients.transport.BufferedResponse;
import org.snipewind.clients.transport.HttpTransport;
import org.snipewind.clients.transport.JsonCodec;
import org.snipewind.standins.process.ChildProcess;
import org.snipewind.standins.target.ExecutionRecord;
import org.snipewind.standins.target.GrantInterval;
import org.snipewind.standins.target.TargetFaults;
import org.snipewind.standins.target.TargetStandInReport;

/** A target of a deployment: its address, its process and its control endpoints. */
public final class TargetHandle {

    private static final long REQUEST_TIMEOUT_MILLIS = 20_000;

    private final String pool;
    private final String dataCentre;
    private final TargetSpecification specification;
    private final boolean ownsProcess;
    private final HttpTransport transport;
    private volatile ChildProcess process;

    TargetHandle(
            String pool,
            String dataCentre,
            TargetSpecification specification,
            boolean ownsProcess,
            HttpTransport transport) {
        this.pool = pool;
        this.dataCentre = dataCentre;
        this.specification = specification;
        this.ownsProcess = ownsProcess;
        this.transport = transport;
    }

    /**
     * Returns the name of the target.
     *
     * @return the name
     */
    public String name() {
        return specification.options().name();
    }

    /**
     * Returns the pool of the target.
     *
     * @return the name of the pool
     */
    public String pool() {
        return pool;
    }

    /**
     * Returns the data centre of the target.
     *
     * @return the name of the data centre
     */
    public String dataCentre() {
        return dataCentre;
    }

    /**
     * Returns the address of the target.
     *
     * @return host and port
     */
    public String address() {
        return "127.0.0.1:" + specification.port();
    }

    /**
     * Returns whether the target has a process of its own.
     *
     * @return true if it can be killed and paused alone
     */
    public boolean hasOwnProcess() {
        return ownsProcess;
    }

    /** Kills the process of the target and waits until it has exited; its records are lost. */
    public void kill() {
        ownProcess().kill();
        ownProcess().awaitExit(Duration.ofSeconds(10));
    }

    /** Pauses the process of the target. */
    public void pause() {
        ownProcess().pause();
    }

    /** Resumes the paused process of the target. */
    public void resume() {
        ownProcess().resume();
    }

    /**
     * Replaces the faults of the target.
     *
     * @param faults the new faults
     */
    public void setFaults(TargetFaults faults) {
        exchange("PUT", "/control", JsonCodec.encode(faults));
    }

    /** Puts the target into cold start. */
    public void startColdStart() {
        exchange("POST", "/control/cold", new byte[0]);
    }

    /** Makes the target forget its grants, as after a restart. */
    public void forgetGrants() {
        exchange("POST", "/control/forget", new byte[0]);
    }

    /**
     * Fetches the report of the target.
     *
     * @return the report
     */
    public TargetStandInReport report() {
        return JsonCodec.decode(exchange("GET", "/control", new byte[0]).body(), TargetStandInReport.class);
    }

    /**
     * Fetches all executions since the start of the process.
     *
     * @return the executions
     */
    public List<ExecutionRecord> executions() {
        return jsonLines("/control/records", ExecutionRecord.class);
    }

    /**
     * Fetches all intervals during which the target held slices.
     *
     * @return the intervals
     */
    public List<GrantInterval> grantIntervals() {
        return jsonLines("/control/grants", GrantInterval.class);
    }

    TargetSpecification specification() {
        return specification;
    }

    void setProcess(ChildProcess newProcess) {
        process = newProcess;
    }

    private ChildProcess ownProcess() {
        if (!ownsProcess) {
            throw new IllegalStateException(name() + " shares its process with other targets");
        }
        return process;
    }

    private <T> List<T> jsonLines(String path, Class<T> type) {
        String text = new String(exchange("GET", path, new byte[0]).body(), StandardCharsets.UTF_8);
        return text.lines()
                .map(line -> JsonCodec.decode(line.getBytes(StandardCharsets.UTF_8), type))
                .toList();
    }

    private BufferedResponse exchange(String method, String path, byte[] body) {
        Map<String, List<String>> headers =
                body.length == 0 ? Map.of() : Map.of("Content-Type", List.of("application/json"));
        BufferedResponse response = transport
                .exchange(method, URI.create("http://" + address() + path), headers, body, REQUEST_TIMEOUT_MILLIS)
                .join();
        if (response.status() >= 300) {
            throw new IllegalStateException(name() + " responded to " + path + " with status " + response.status());
        }
        return response;
    }
}
