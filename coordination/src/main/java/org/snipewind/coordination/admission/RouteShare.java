package org.snipewind.coordination.admission;

/** Recent numbers of requests of a route that were offered and served; old requests count less. Not thread-safe. */
final class RouteShare {

    /** Time constant of the counts; an instance of a large fleet has only about one request of a route per second. */
    private static final double WINDOW_MILLIS = 8_000;

    private double offered;
    private double served;
    private long updatedMillis = Long.MIN_VALUE / 2;

    void recordOffered(long nowMillis) {
        decay(nowMillis);
        offered++;
    }

    void recordServed(long nowMillis) {
        decay(nowMillis);
        served++;
    }

    double offered(long nowMillis) {
        decay(nowMillis);
        return offered;
    }

    double served(long nowMillis) {
        decay(nowMillis);
        return served;
    }

    private void decay(long nowMillis) {
        double factor = Math.exp(-Math.max(0, nowMillis - updatedMillis) / WINDOW_MILLIS);
        offered *= factor;
        served *= factor;
        updatedMillis = nowMillis;
    }
}
