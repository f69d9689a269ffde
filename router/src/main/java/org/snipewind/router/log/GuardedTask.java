package org.snipewind.router.log;

/**
 * Runs a task whose failure must not end the schedule or the chain of callbacks that it belongs to. Event loops and
 * futures drop the exceptions of their tasks, and a fixed-rate task that fails is never run again.
 */
public final class GuardedTask implements Runnable {

    private final RouterEventLog log;
    private final String name;
    private final Runnable task;
    private final Runnable onFailure;

    /**
     * Creates a guarded task.
     *
     * @param log logs the failures
     * @param name name of the task in the log
     * @param task the task
     */
    public GuardedTask(RouterEventLog log, String name, Runnable task) {
        this(log, name, task, () -> {});
    }

    /**
     * Creates a guarded task that continues otherwise after a failure.
     *
     * @param log logs the failures
     * @param name name of the task in the log
     * @param task the task
     * @param onFailure run after a failure of the task
     */
    public GuardedTask(RouterEventLog log, String name, Runnable task, Runnable onFailure) {
        this.log = log;
        this.name = name;
        this.task = task;
        this.onFailure = onFailure;
    }

    @Override
    public void run() {
        try {
            task.run();
        } catch (Throwable e) {
            // Errors too: a stack overflow or a lack of memory concerns this run of the task only.
            log.write(RouterEvent.TASK_FAILED, () -> "task=" + name + " cause=" + e);
            onFailure.run();
        }
    }
}
