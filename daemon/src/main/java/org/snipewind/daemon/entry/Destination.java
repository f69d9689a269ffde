package org.snipewind.daemon.entry;

import java.util.OptionalInt;
import org.snipewind.coordination.fleet.Member;

/**
 * Where a request goes next.
 *
 * @param target name of the target
 * @param supervisor daemon that supervises the target
 * @param slice slice of the request's key, empty for an undivided pool
 * @param tableVersion version of the slice table, 0 for an undivided pool
 */
record Destination(String target, Member supervisor, OptionalInt slice, long tableVersion) {}
