package org.snipewind.command;

import java.util.Optional;

/**
 * Options of the subcommand {@code apply}.
 *
 * @param baseRevision revision on which the change is based, or empty to use the one recorded in the folder
 * @param author name of the operator who makes the change
 * @param note description of the change
 * @param waitSeconds maximum time to wait until the change is in force
 */
record ApplyOptions(Optional<Long> baseRevision, String author, String note, long waitSeconds) {}
