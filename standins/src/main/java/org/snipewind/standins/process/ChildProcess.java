package org.snipewind.standins.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A process started by a {@link ProcessLauncher}; all signals go to its id. */
public final class ChildProcess {

    private static final long LONGEST_PAUSE_NANOS = 5_000_000_000L;

    private final Process process;
    private final String readyLine;

    ChildProcess(Process process, String readyLine) {
        this.process = process;
        this.readyLine = readyLine;
    }

    /**
     * Gives the line by which the process said that it is ready.
     *
     * @return the line
     */
    public String readyLine() {
        return readyLine;
    }

    /**
     * Gives the id of the process.
     *
     * @return the process id
     */
    public long pid() {
        return process.pid();
    }

    /**
     * Tells whether the process has not ended.
     *
     * @return true if it runs or is paused
     */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Asks the process to end (SIGTERM). */
    public void stop() {
        process.destroy();
    }

    /** Ends the process at once (SIGKILL). */
    public void kill() {
        process.destroyForcibly();
    }

    /** Freezes the process (SIGSTOP) and returns once all its threads have stopped. */
    public void pause() {
        signal("STOP");
        // The signal is delivered to the threads one by one; a thread that still runs could answer one more request.
        long end = System.nanoTime() + LONGEST_PAUSE_NANOS;
        while (!hasStopped()) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("process " + pid() + " did not stop");
            }
            Thread.onSpinWait();
        }
    }

    private boolean hasStopped() {
        try (Stream<Path> threads = Files.list(Path.of("/proc", String.valueOf(pid()), "task"))) {
            return threads.allMatch(ChildProcess::isThreadStopped);
        } catch (IOException | UncheckedIOException e) {
            return !isAlive();
        }
    }

    private static boolean isThreadStopped(Path thread) {
        try {
            String status = Files.readString(thread.resolve("stat"));
            // The state follows the command name, which stands in parentheses and may hold any character.
            return status.charAt(status.lastIndexOf(')') + 2) == 'T';
        } catch (NoSuchFileException e) {
            return true;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Lets a frozen process go on (SIGCONT). */
    public void resume() {
        signal("CONT");
    }

    /**
     * Waits until the process has ended.
     *
     * @param limit longest wait
     * @return its exit code
     * @throws IllegalStateException if it runs after the wait
     */
    public int awaitExit(Duration limit) {
        try {
            if (!process.waitFor(limit.toMillis(), TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException("process " + pid() + " did not end within " + limit);
            }
            return process.exitValue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while waiting for process " + pid(), e);
        }
    }

    private void signal(String name) {
        if (!process.isAlive()) {
            throw new IllegalStateException("process " + pid() + " has ended");
        }
        try {
            int exit = new ProcessBuilder("kill", "-" + name, Long.toString(pid()))
                    .start()
                    .waitFor();
            if (exit != 0) {
                throw new IllegalStateException("signal " + name + " to process " + pid() + " failed");
            }
        } catch (IOException e) {
            throw new IllegalStateException("signal " + name + " could not be sent", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while sending signal " + name, e);
        }
    }
}
