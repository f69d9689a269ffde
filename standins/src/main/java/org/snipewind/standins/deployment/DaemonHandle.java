package org.snipewind.standins.deployment;

import java.nio.file.Path;
import java.time.Duration;
import org.snipewind.standins.process.ChildProcess;

/** A daemon of a deployment: its addresses and its process. */
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
     * Returns the name of the instance.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    /**
     * Returns the data centre of the daemon.
     *
     * @return the name of the data centre
     */
    public String dataCentre() {
        return dataCentre;
    }

    /**
     * Returns the address on which the daemon accepts requests of callers.
     *
     * @return host and port
     */
    public String callerAddress() {
        return callerAddress;
    }

    /**
     * Returns the address on which the daemon accepts requests of operators.
     *
     * @return host and port
     */
    public String operatorAddress() {
        return operatorAddress;
    }

    /**
     * Returns the address on which the daemon accepts connections of other daemons.
     *
     * @return host and port
     */
    public String peerAddress() {
        return peerAddress;
    }

    /**
     * Returns the process of the daemon, or its last one if the daemon does not run.
     *
     * @return the process
     */
    public ChildProcess process() {
        return process;
    }

    /** Kills the process of the daemon and waits until it has exited. */
    public void kill() {
        process.kill();
        process.awaitExit(Duration.ofSeconds(10));
    }

    /** Pauses the process of the daemon. */
    public void pause() {
        process.pause();
    }

    /** Resumes the paused process of the daemon. */
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

    void setProcess(ChildProcess newProcess) {
        process = newProcess;
    }
}
