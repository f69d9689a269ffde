package org.snipewind.router.state;

import org.snipewind.coordination.keyspace.KeyTable;

/**
 * A key table as the store contains it.
 *
 * @param table the table
 * @param era era of the store in which it was written; it is earlier than that of its position if the store was
 *     restored from a copy that contains it
 */
public record WrittenKeyTable(KeyTable table, long era) {}
