package org.snipewind.standins.deployment;

import java.nio.file.Path;
import java.time.Duration;
import org.snipewind.standins.process.ChildProcess;

/** A daemon of a deployment. */
public final class DaemonHandle {

    private final String name;
    private final String dataCentre;
    private final String callerAddress;
    private final String operatorAddress;
    private final String peerAddress;
    private final Path settings;
    private volatile ChildProcess process;

    DaemonHandle(String name, String dataCentre, String[] addresses, Path settings) {
        this.name = name;
        this.dataCentre = dataCentre;
        this.callerAddress = addresses[0];
        this.operatorAddress = addresses[1];
        this.peerAddress = addresses[2];
        this.settings = settings;
    }

    /**
     * Gives the name of the instance.
     *
     * @return the name
     */
    public String name() {
        return name;
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
     * Gives the address of callers.
     *
     * @return host and port
     */
    public String callerAddress() {
        return callerAddress;
    }

    /**
     * Gives the address of operators.
     *
     * @return host and port
     */
    public String operatorAddress() {
        return operatorAddress;
    }

    /**
     * Gives the address of other daemons.
     *
     * @return host and port
     */
    public String peerAddress() {
        return peerAddress;
    }

    /**
     * Gives the process that runs or ran last.
     *
     * @return the process
     */
    public ChildProcess process() {
        return process;
    }

    /** Ends the daemon at once. */
    public void kill() {
        process.kill();
        process.awaitExit(Duration.ofSeconds(10));
    }

    /** Freezes the daemon. */
    public void pause() {
        process.pause();
    }

    /** Lets the frozen daemon go on. */
    public void resume() {
        process.resume();
    }

    /** Asks the daemon to shut down gracefully and returns at once. */
    public void stop() {
        process.stop();
    }

    Path settings() {
        return settings;
    }

    void runs(ChildProcess started) {
        process = started;
    }
}
