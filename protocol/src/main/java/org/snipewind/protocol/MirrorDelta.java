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
 * @param forward whether the receiver is to forward it to the other instances of its data centre
 * @param sentMillis a time of the receiver's clock at which it was certainly not sent yet, {@link #UNKNOWN_MILLIS} if
 *     none is known; 0 if it is not to be forwarded
 */
public record MirrorDelta(
        long fromRevision,
        long toRevision,
        long storeAgeMillis,
        List<MirrorAnswer.Item> written,
        List<MirrorAnswer.Item> removed,
        List<Patch> patches,
        boolean forward,
        long sentMillis)
        implements PeerMessage {

    /** Time of sending if the sender does not know the receiver's clock. */
    public static final long UNKNOWN_MILLIS = Long.MIN_VALUE;

    /** Age of changes of which it is unknown when the store confirmed them; other ages can be added to it. */
    public static final long UNKNOWN_AGE_MILLIS = Long.MAX_VALUE / 4;

    /**
     * Creates a delta that is not to be forwarded.
     *
     * @param fromRevision revision after which the changes begin
     * @param toRevision revision up to which they are complete
     * @param storeAgeMillis milliseconds since the store confirmed to the sender that there are no later changes
     * @param written items that were written
     * @param removed items that were removed
     * @param patches changes to items of which only a part changed
     */
    public MirrorDelta(
            long fromRevision,
            long toRevision,
            long storeAgeMillis,
            List<MirrorAnswer.Item> written,
            List<MirrorAnswer.Item> removed,
            List<Patch> patches) {
        this(fromRevision, toRevision, storeAgeMillis, written, removed, patches, false, 0);
    }

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

    /**
     * Returns the same changes for a relay.
     *
     * @param elapsedMillis time since this delta was created
     * @param sentTime time of sending by the relay's clock, see {@link #sentMillis()}
     * @return the delta for the relay
     */
    public MirrorDelta forRelay(long elapsedMillis, long sentTime) {
        return new MirrorDelta(
                fromRevision, toRevision, olderBy(elapsedMillis), written, removed, patches, true, sentTime);
    }

    /**
     * Returns the same changes for an instance that does not forward them.
     *
     * @param elapsedMillis time since this delta was created
     * @return the delta
     */
    public MirrorDelta forInstance(long elapsedMillis) {
        return new MirrorDelta(fromRevision, toRevision, olderBy(elapsedMillis), written, removed, patches);
    }

    /**
     * Returns the longest time for which this delta can have been on its way.
     *
     * @param nowMillis the receiver's clock
     * @return milliseconds, {@link #UNKNOWN_AGE_MILLIS} if the time of sending is unknown
     */
    public long transitMillis(long nowMillis) {
        return sentMillis == UNKNOWN_MILLIS ? UNKNOWN_AGE_MILLIS : Math.max(0, nowMillis - sentMillis);
    }

    private long olderBy(long millis) {
        return Math.min(UNKNOWN_AGE_MILLIS, storeAgeMillis) + Math.min(UNKNOWN_AGE_MILLIS, millis);
    }
}
