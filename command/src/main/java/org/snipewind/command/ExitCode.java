package org.snipewind.command;

/** Exit codes of the command, as its help lists them. */
final class ExitCode {

    static final int DONE = 0;
    /**
     * The folder or the fleet has problems, the folder differs from the current configuration, or a change is not in
     * force on all daemons.
     */
    static final int PROBLEMS = 1;

    static final int USAGE = 2;
    static final int CONFLICT = 3;
    /** The store or a daemon is not reachable, or the outcome of a change is not known. */
    static final int UNREACHABLE = 4;

    private ExitCode() {}
}
