package org.snipewind.daemon.record;

import java.util.Optional;

/**
 * A pure step from one version of a record to the next.
 *
 * @param <T> class of the record
 */
@FunctionalInterface
public interface RecordTransition<T> {

    /**
     * Computes the next version.
     *
     * @param current the record now in the store
     * @param writer id of the write
     * @return the next version, or empty if nothing is to be written
     */
    Optional<T> apply(T current, String writer);
}
