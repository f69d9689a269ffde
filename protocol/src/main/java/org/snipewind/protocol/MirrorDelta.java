package org.snipewind.protocol;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/**
 * The changes of the store between two revisions, sent to instances so that they need not watch the store themselves.
 *
 * @param fromRevision revision after which the changes begin
 * @param toRevision revision up to which they are complete
 * @param storeAgeMillis milliseconds since the store confirmed to the sender that there are no later changes
 * @param written items that were written
 * @param removed items that were removed, each with the revision of its removal and without a value
 * @param patches changes to items of which only a part changed, in the order of their revisions
 */
public record MirrorDelta(
        long fromRevision,
        long toRevision,
        long storeAgeMillis,
        List<MirrorAnswer.Item> written,
        List<MirrorAnswer.Item> removed,
        List<Patch> patches)
        implements PeerMessage {

    /**
     * A change to a part of one item.
     *
     * @param key key of the item
     * @param baseRevision revision of the item to which the change applies
     * @param revision revision of the changed item
     * @param content the change, in the format that sender and receiver use for items with that key
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Patch(String key, long baseRevision, long revision, byte[] content) {

        @Override
        public boolean equals(Object other) {
            return other instanceof Patch patch
                    && key.equals(patch.key)
                    && baseRevision == patch.baseRevision
                    && revision == patch.revision
                    && Arrays.equals(content, patch.content);
        }

        @Override
        public int hashCode() {
            return Objects.hash(key, baseRevision, revision, Arrays.hashCode(content));
        }
    }
}
