package org.snipewind.daemon.record;

/** Hears of records that changed. */
@FunctionalInterface
public interface RecordListener {

    /**
     * Handles a change; called outside any lock.
     *
     * @param name store key of the record
     */
    void recordChanged(String name);
}
