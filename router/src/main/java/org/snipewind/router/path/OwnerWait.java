package org.snipewind.router.path;

import org.snipewind.coordination.error.ErrorKind;

/** The wait of a request for the owner of its key, or for the end of a pause of all targets. */
final class OwnerWait {

    private final Worker worker;
    private final RoutedRequest request;
    private long untilMillis = -1;

    OwnerWait(Worker worker, RoutedRequest request) {
        this.worker = worker;
        this.request = request;
    }

    /**
     * Has the request wait, unless the wait would be too long.
     *
     * @param kind why the owner takes no requests
     * @param leastWaitMillis least time until the owner takes requests
     * @return false if the wait would be too long
     */
    boolean begin(ErrorKind kind, long leastWaitMillis) {
        long now = worker.context().clock().nowMillis();
        if (untilMillis < 0) {
            // At least half of the remaining time is reserved for processing the request.
            untilMillis = now + TargetResolver.maxOwnerWaitMillis(request.remainingMillis());
            request.schedule(this::end, untilMillis - now);
        }
        if (now + leastWaitMillis >= untilMillis) {
            return false;
        }
        worker.waitForOwner(request);
        if (kind == ErrorKind.TARGET_PAUSED) {
            // The end of a pause is no change of the view.
            request.schedule(this::end, leastWaitMillis);
        }
        return true;
    }

    private void end() {
        if (worker.isWaiting(request)) {
            worker.stopWaiting(request);
            request.routeIfNoneActive();
        }
    }
}
