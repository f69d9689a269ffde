package org.snipewind.command;

import java.nio.file.Path;
import java.util.List;

/** Replays a trace of requests against entry daemons. */
@FunctionalInterface
interface TraceReplay {

    /** Sends the requests of the trace at their intended times and returns the exit code. */
    int replay(Path trace, List<String> addresses);
}
