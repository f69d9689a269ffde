package org.snipewind.protocol;

import java.util.List;

/**
 * Answer to a {@link MirrorRequest}.
 *
 * @param revision revision of the copy
 * @param storeAgeMillis milliseconds since the sender last heard from the store
 * @param leaderAgeMillis milliseconds since the sender last heard from the leader
 * @param items the whole copy, empty if the known revision is not older
 */
public record MirrorAnswer(long revision, long storeAgeMillis, long leaderAgeMillis, List<Item> items)
        implements PeerMessage {

    /**
     * One item of the store.
     *
     * @param key key of the item
     * @param revision revision of its last change
     * @param lease lease with whose end it is removed, 0 for none
     * @param value bytes of the item
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Item(String key, long revision, long lease, byte[] value) {}
}
