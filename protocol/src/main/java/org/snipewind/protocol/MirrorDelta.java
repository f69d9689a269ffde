package org.snipewind.protocol;

import java.util.List;

/**
 * The changes of the store between two revisions, sent to instances so that they need not watch the store themselves.
 *
 * @param fromRevision revision after which the changes begin
 * @param toRevision revision up to which they are complete
 * @param storeAgeMillis milliseconds since the store confirmed to the sender that there are no later changes
 * @param written items that were written
 * @param removed items that were removed, each with the revision of its removal and without a value
 */
public record MirrorDelta(
        long fromRevision,
        long toRevision,
        long storeAgeMillis,
        List<MirrorAnswer.Item> written,
        List<MirrorAnswer.Item> removed)
        implements PeerMessage {}
