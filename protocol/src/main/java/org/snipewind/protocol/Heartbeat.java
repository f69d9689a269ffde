package org.snipewind.protocol;

/**
 * A member's request to extend its lease.
 *
 * @param sequence number that grows with each heartbeat of the sender
 * @param versions versions of the records that the sender has
 * @param storeContactAgeMillis age of the newest contact with the store that the sender knows of
 */
public record Heartbeat(long sequence, RecordVersions versions, long storeContactAgeMillis) implements PeerMessage {}
