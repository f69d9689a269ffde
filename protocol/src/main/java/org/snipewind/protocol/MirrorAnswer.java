package org.snipewind.protocol;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/**
 * The sender's store cache, as the answer to a {@link MirrorRequest}.
 *
 * @param revision revision of the store cache
 * @param storeAgeMillis milliseconds since the store confirmed that the sender's store cache is complete
 * @param leaderAgeMillis milliseconds since the sender's last contact with the leader
 * @param whole whether the items are all items of the store cache, rather than the changes since the known revision
 * @param items the items, empty if the revision in the request is not older
 * @param removed items that were removed since the known revision, each with the revision of its removal
 */
public record MirrorAnswer(
        long revision, long storeAgeMillis, long leaderAgeMillis, boolean whole, List<Item> items, List<Item> removed)
        implements PeerMessage {

    /**
     * One item of the store.
     *
     * @param key key of the item
     * @param revision revision of its last change
     * @param lease lease whose end removes the item, 0 for none
     * @param compressed whether the content is compressed
     * @param value content of the item
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Item(String key, long revision, long lease, boolean compressed, byte[] value) {

        @Override
        public boolean equals(Object other) {
            return other instanceof Item item
                    && key.equals(item.key)
                    && revision == item.revision
                    && lease == item.lease
                    && compressed == item.compressed
                    && Arrays.equals(value, item.value);
        }

        @Override
        public int hashCode() {
            return Objects.hash(key, revision, lease, compressed, Arrays.hashCode(value));
        }
    }
}
