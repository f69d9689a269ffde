package org.snipewind.standins.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A process that a {@link ProcessLauncher} started; signals are sent to its process id only. */
public final class ChildProcess {

    private static final long STOP_TIMEOUT_NANOS = 5_000_000_000L;

    private final Process process;
    private final String readyLine;

    ChildProcess(Process process, String readyLine) {
        this.process = process;
        this.readyLine = readyLine;
    }

    /**
     * Returns the line that the process printed when it was ready.
     *
     * @return the line
     */
    public String readyLine() {
        return readyLine;
    }

    /**
     * Returns the id of the process.
     *
     * @return the process id
     */
    public long pid() {
        return process.pid();
    }

    /**
     * Returns whether the process has not exited.
     *
     * @return true if it runs or is paused
     */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Asks the process to exit (SIGTERM). */
    public void stop() {
        process.destroy();
    }

    /** Kills the process (SIGKILL). */
    public void kill() {
        process.destroyForcibly();
    }

    /** Pauses the process (SIGSTOP) and returns when all its threads have stopped. */
    public void pause() {
        sendSignal("STOP");
        // The threads stop one after the other, and a thread that still runs could respond to another request.
        long endNanos = System.nanoTime() + STOP_TIMEOUT_NANOS;
        while (!areAllThreadsStopped()) {
            if (System.nanoTime() > endNanos) {
                throw new IllegalStateException("process " + pid() + " did not pause within the timeout");
            }
            Thread.onSpinWait();
        }
    }

    private boolean areAllThreadsStopped() {
        try (Stream<Path> threads = Files.list(Path.of("/proc", String.valueOf(pid()), "task"))) {
            return threads.allMatch(ChildProcess::isThreadStopped);
        } catch (IOException | UncheckedIOException e) {
            return !isAlive();
        }
    }

    private static boolean isThreadStopped(Path thread) {
        try {
            String status = Files.readString(thread.resolve("stat"));
            // The state follows the command name, which is enclosed in parentheses and may contain any character.
            return status.charAt(status.lastIndexOf(')') + 2) == 'T';
        } catch (NoSuchFileException e) {
            return true;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Resumes the paused process (SIGCONT). */
    public void resume() {
        sendSignal("CONT");
    }

    /**
     * Waits until the process has exited.
     *
     * @param timeout maximum wait
     * @return its exit code
     * @throws IllegalStateException if it has not exited when the wait ends
     */
    public int awaitExit(Duration timeout) {
        try {
            if (!process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException("process " + pid() + " did not exit within " + timeout);
            }
            return process.exitValue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while waiting for process " + pid(), e);
        }
    }

    private void sendSignal(String name) {
        if (!process.isAlive()) {
            throw new IllegalStateException("process " + pid() + " has exited");
        }
        try {
            int exitCode = new ProcessBuilder("kill", "-" + name, Long.toString(pid()))
                    .start()
                    .waitFor();
            if (exitCode != 0) {
                throw new IllegalStateException("signal " + name + " to process " + pid() + " failed");
            }
        } catch (IOException e) {
            throw new IllegalStateException("signal " + name + " can't be sent", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while sending signal " + name, e);
        }
    }
}
