package org.snipewind.router.state;

import java.util.OptionalLong;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.restore.RestorationRules;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;

/**
 * The eras of the store that this instance has learnt of: from the store's own responses, or first from the positions
 * that another instance has sent. Confined to the control event loop.
 */
public final class StoreEras {

    private final MillisClock clock;
    private final RouterEventLog log;
    private Runnable changeListener = () -> {};
    private long era;
    private long newestKnown;
    private OptionalLong learntMillis = OptionalLong.empty();

    StoreEras(MillisClock clock, RouterEventLog log) {
        this.clock = clock;
        this.log = log;
    }

    /**
     * Sets the listener for changes of the era, which counts them.
     *
     * @param listener called once for each change
     */
    public void setChangeListener(Runnable listener) {
        changeListener = listener;
    }

    /** Records the era that a response of the store has stated. */
    void recordFromStore(long stated) {
        if (stated <= era) {
            return;
        }
        era = stated;
        learntMillis = OptionalLong.of(clock.nowMillis());
        recordKnown(stated, "store");
    }

    /** Records the era of a position that another instance has sent. It may be wrong, so only the store confirms it. */
    void recordFromPeer(long stated) {
        recordKnown(stated, "peer");
    }

    private void recordKnown(long stated, String source) {
        if (stated <= newestKnown) {
            return;
        }
        long before = newestKnown;
        newestKnown = stated;
        log.write(RouterEvent.STORE_RESTORED, () -> "era=" + stated + " before=" + before + " learnt-from=" + source);
        changeListener.run();
    }

    /**
     * Returns the era of the store by its own responses.
     *
     * @return the era, 0 until the store states another one
     */
    public long era() {
        return era;
    }

    /**
     * Returns the newest era of which the store or another instance has told.
     *
     * @return the era, at least {@link #era()}
     */
    public long newestKnown() {
        return newestKnown;
    }

    /**
     * Returns the time until which rights that were acquired in an earlier era may last.
     *
     * @param longestMillis longest time for which such a right lasts
     * @return the time, {@link Long#MIN_VALUE} in era 0
     */
    public long earlierRightsEndMillis(long longestMillis) {
        return RestorationRules.earlierRightsEndMillis(learntMillis, longestMillis);
    }
}
