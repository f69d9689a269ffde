package org.snipewind.coordination.keyspace;

import java.util.Optional;

/**
 * A planned change of the holder of a range.
 *
 * @param from first key
 * @param to last key
 * @param source life that may hold the keys now, or empty
 * @param destination life that is to hold them
 */
public record KeyMove(int from, int to, Optional<String> source, String destination) {}
