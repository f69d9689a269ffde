package org.snipewind.command;

/** Exit codes of the command, as documented in its help. */
final class ExitCode {

    static final int DONE = 0;
    /** The folder has problems, or the change is not in force on all daemons. */
    static final int PROBLEMS = 1;

    static final int USAGE = 2;
    static final int CONFLICT = 3;
    /** The store or a daemon is not reachable, or an outcome is not known. */
    static final int UNREACHABLE = 4;

    private ExitCode() {}
}
