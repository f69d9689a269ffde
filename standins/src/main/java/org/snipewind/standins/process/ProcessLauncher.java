package org.snipewind.standins.process;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Predicate;

/** Starts Java processes with the class path of this process, and kills all of them when closed. */
public final class ProcessLauncher implements AutoCloseable {

    private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);

    private final List<String> javaOptions;
    private final Path logDirectory;
    private final List<Process> startedProcesses = new ArrayList<>();

    /**
     * Creates a launcher of processes that start fast and have a small heap.
     *
     * @param heapMegabytes maximum heap size of each process
     * @param logDirectory directory for the standard error and standard output of each process
     */
    public ProcessLauncher(int heapMegabytes, Path logDirectory) {
        this(List.of("-Xmx" + heapMegabytes + "m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"), logDirectory);
    }

    /**
     * Creates a launcher of processes with the given options.
     *
     * @param javaOptions options of the Java virtual machine
     * @param logDirectory directory for the standard error and standard output of each process
     */
    public ProcessLauncher(List<String> javaOptions, Path logDirectory) {
        this.javaOptions = List.copyOf(javaOptions);
        this.logDirectory = logDirectory;
        // If a signal ends this process, the owner of the launcher does not close it.
        Runtime.getRuntime().addShutdownHook(new Thread(this::close, "end of started processes"));
    }

    /**
     * Starts a process and waits for its ready line on standard output.
     *
     * @param name name of the log file without its suffix
     * @param mainClass class with the main method
     * @param arguments arguments of the main method
     * @param isReadyLine tests whether a line is the ready line
     * @return the process
     * @throws IllegalStateException if it exits or does not print the ready line within 30 s
     */
    public ChildProcess start(String name, String mainClass, List<String> arguments, Predicate<String> isReadyLine) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(javaOptions);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), mainClass));
        command.addAll(arguments);
        Path log = logDirectory.resolve(name + ".log");
        try {
            Process process = new ProcessBuilder(command)
                    .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .start();
            addStarted(process);
            return new ChildProcess(process, awaitReady(process, isReadyLine, log));
        } catch (IOException e) {
            throw new UncheckedIOException("the process " + name + " can't be started", e);
        }
    }

    @Override
    public synchronized void close() {
        startedProcesses.forEach(Process::destroyForcibly);
        startedProcesses.clear();
    }

    private synchronized void addStarted(Process process) {
        startedProcesses.add(process);
    }

    private static String awaitReady(Process process, Predicate<String> isReadyLine, Path log) {
        CompletableFuture<String> ready = new CompletableFuture<>();
        Thread reader = new Thread(() -> readLines(process, isReadyLine, ready, log), "output of " + process.pid());
        reader.setDaemon(true);
        reader.start();
        try {
            return ready.get(READY_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            process.destroyForcibly();
            throw new IllegalStateException("process " + process.pid() + " did not become ready, see " + log, e);
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while waiting for process " + process.pid(), e);
        }
    }

    // Reads until the end of the output, because a full pipe would block the process.
    private static void readLines(
            Process process, Predicate<String> isReadyLine, CompletableFuture<String> ready, Path log) {
        try (BufferedReader output = process.inputReader(StandardCharsets.UTF_8);
                BufferedWriter copy = Files.newBufferedWriter(
                        log.resolveSibling(log.getFileName() + ".out"),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.APPEND)) {
            for (String line = output.readLine(); line != null; line = output.readLine()) {
                copy.write(line);
                copy.newLine();
                copy.flush();
                if (isReadyLine.test(line)) {
                    ready.complete(line);
                }
            }
            ready.completeExceptionally(new IOException("the process closed its output before it was ready"));
        } catch (IOException e) {
            ready.completeExceptionally(e);
        }
    }
}
