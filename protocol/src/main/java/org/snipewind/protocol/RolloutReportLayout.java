package org.snipewind.protocol;

/** Layout of the reports about roll-outs. */
final class RolloutReportLayout {

    private static final int TYPE = 40;
    private static final int POOL_FIELDS = 5;
    private static final int ROUTE_FIELDS = 6;

    private RolloutReportLayout() {}

    static MessageLayout<RolloutReport> create() {
        return new MessageLayout<>(
                TYPE,
                RolloutReport.class,
                1,
                (out, message) -> out.writeList(message.pools(), pool -> writePool(out, pool)),
                in -> new RolloutReport(in.readList("pools", () -> readPool(in))));
    }

    private static void writePool(FieldWriter out, RolloutReport.PoolReport pool) {
        out.writeArrayHeader(POOL_FIELDS)
                .writeString(pool.pool())
                .writeLong(pool.orderRevision())
                .writeLong(pool.recordRevision())
                .writeLong(pool.othersInFlight())
                .writeList(
                        pool.routes(),
                        count -> out.writeArrayHeader(ROUTE_FIELDS)
                                .writeString(count.version())
                                .writeString(count.route())
                                .writeLong(count.requests())
                                .writeLong(count.bad())
                                .writeLong(count.timed())
                                .writeDouble(count.serviceMillis()));
    }

    private static RolloutReport.PoolReport readPool(FieldReader in) {
        requireFieldCount(in, "pool", POOL_FIELDS);
        return new RolloutReport.PoolReport(
                in.readString("pool"),
                in.readLong("orderRevision"),
                in.readLong("recordRevision"),
                in.readInt("othersInFlight"),
                in.readList("routes", () -> readRoute(in)));
    }

    private static RolloutReport.RouteCount readRoute(FieldReader in) {
        requireFieldCount(in, "route", ROUTE_FIELDS);
        return new RolloutReport.RouteCount(
                in.readString("version"),
                in.readString("route"),
                in.readLong("requests"),
                in.readLong("bad"),
                in.readLong("timed"),
                in.readDouble("serviceMillis"));
    }

    private static void requireFieldCount(FieldReader in, String name, int count) {
        if (in.readArrayHeader(name) != count) {
            throw in.failure(name, "does not have " + count + " fields");
        }
    }
}
