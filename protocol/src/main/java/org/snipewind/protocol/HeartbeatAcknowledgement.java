package org.snipewind.protocol;

/**
 * A witness's answer to a heartbeat.
 *
 * @param witness id of the answering member; another incarnation may have taken over the address
 * @param sequence number of the heartbeat
 * @param accepted whether the lease is extended
 * @param versions versions of the records that the witness has
 * @param storeContactAgeMillis age of the newest contact with the store that the witness knows of
 */
public record HeartbeatAcknowledgement(
        String witness, long sequence, boolean accepted, RecordVersions versions, long storeContactAgeMillis)
        implements PeerMessage {}
