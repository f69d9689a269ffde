package org.snipewind.command;

import java.util.Optional;

/**
 * Options of a change.
 *
 * @param base revision on which the change is based, or empty to use the one that the folder remembers
 * @param author who makes the change
 * @param note what the change is
 * @param waitSeconds longest wait until the change is in force
 */
record ApplyOptions(Optional<Long> base, String author, String note, long waitSeconds) {}
