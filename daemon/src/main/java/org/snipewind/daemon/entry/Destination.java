package org.snipewind.daemon.entry;

import java.util.OptionalInt;
import org.snipewind.coordination.fleet.Member;

/**
 * The target of the next attempt of a request, and the daemon through which the target is reached.
 *
 * @param target name of the target
 * @param supervisor daemon that supervises the target
 * @param slice slice of the request's key, empty for an undivided pool
 * @param tableVersion version of the slice table by which the target was found, 0 for an undivided pool
 */
record Destination(String target, Member supervisor, OptionalInt slice, long tableVersion) {}
