package org.snipewind.daemon.record;

/** Receives notifications of changed records. */
@FunctionalInterface
public interface RecordListener {

    /**
     * Handles a changed record; called without holding any lock.
     *
     * @param name store key of the record
     */
    void recordChanged(String name);
}
