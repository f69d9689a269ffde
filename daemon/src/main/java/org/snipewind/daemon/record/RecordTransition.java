package org.snipewind.daemon.record;

import java.util.Optional;

/**
 * Computes the next version of a record from the current one, without side effects outside this process.
 *
 * @param <T> class of the record
 */
@FunctionalInterface
public interface RecordTransition<T> {

    /**
     * Computes the next version.
     *
     * @param current the record read from the store
     * @param writer unique id of the write
     * @return the next version, or empty if nothing is to be written
     */
    Optional<T> apply(T current, String writer);
}
