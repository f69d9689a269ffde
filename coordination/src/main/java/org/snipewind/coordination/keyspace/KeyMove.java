package org.snipewind.coordination.keyspace;

import java.util.Optional;

/**
 * A planned change of the holder of a key range.
 *
 * @param from first key, inclusive
 * @param to last key, inclusive
 * @param source target incarnation that may hold the keys now, or empty if there is none
 * @param destination target incarnation that is to hold them
 */
public record KeyMove(int from, int to, Optional<String> source, String destination) {}
