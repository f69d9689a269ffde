package org.snipewind.protocol;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Refusal;

/** The wire layouts of all message types. */
final class MessageLayouts {

    static final List<MessageLayout<?>> ALL = List.of(
            new MessageLayout<>(
                    1,
                    TargetReportAnswer.class,
                    2,
                    (out, message) -> out.writeBoolean(message.accepted()).writeLong(message.tableVersion()),
                    in -> new TargetReportAnswer(in.readBoolean("accepted"), in.readLong("tableVersion"))),
            new MessageLayout<>(
                    2,
                    Heartbeat.class,
                    3,
                    (out, message) -> writeVersions(out.writeLong(message.sequence()), message.versions())
                            .writeLong(message.storeContactAgeMillis()),
                    in -> new Heartbeat(
                            in.readLong("sequence"), readVersions(in), in.readLong("storeContactAgeMillis"))),
            new MessageLayout<>(
                    3,
                    HeartbeatAcknowledgement.class,
                    5,
                    (out, message) -> writeVersions(
                                    out.writeString(message.witness())
                                            .writeLong(message.sequence())
                                            .writeBoolean(message.accepted()),
                                    message.versions())
                            .writeLong(message.storeContactAgeMillis()),
                    in -> new HeartbeatAcknowledgement(
                            in.readString("witness"),
                            in.readLong("sequence"),
                            in.readBoolean("accepted"),
                            readVersions(in),
                            in.readLong("storeContactAgeMillis"))),
            new MessageLayout<>(
                    4,
                    ExpiryQuery.class,
                    1,
                    (out, message) -> out.writeString(message.holder()),
                    in -> new ExpiryQuery(in.readString("holder"))),
            new MessageLayout<>(
                    5,
                    ExpiryAnswer.class,
                    3,
                    (out, message) -> out.writeString(message.witness())
                            .writeString(message.holder())
                            .writeBoolean(message.expired()),
                    in -> new ExpiryAnswer(
                            in.readString("witness"), in.readString("holder"), in.readBoolean("expired"))),
            new MessageLayout<>(
                    6,
                    RecordPush.class,
                    3,
                    (out, message) -> out.writeString(message.name())
                            .writeLong(message.version())
                            .writeBytes(message.content()),
                    in -> new RecordPush(in.readString("name"), in.readLong("version"), in.readBytes("content"))),
            new MessageLayout<>(
                    7,
                    RecordFetch.class,
                    1,
                    (out, message) -> out.writeString(message.name()),
                    in -> new RecordFetch(in.readString("name"))),
            new MessageLayout<>(
                    8,
                    RecordAnswer.class,
                    3,
                    (out, message) -> out.writeString(message.name())
                            .writeLong(message.version())
                            .writeBytes(message.content()),
                    in -> new RecordAnswer(in.readString("name"), in.readLong("version"), in.readBytes("content"))),
            new MessageLayout<>(
                    9,
                    TargetReport.class,
                    6,
                    (out, message) -> out.writeString(message.pool())
                            .writeString(message.target())
                            .writeLong(message.token())
                            .writeString(message.condition().name())
                            .writeLong(message.releasedVersion())
                            .writeMap(message.requestsBySlice(), slice -> out.writeLong(slice), out::writeLong),
                    in -> new TargetReport(
                            in.readString("pool"),
                            in.readString("target"),
                            in.readLong("token"),
                            in.readEnum("condition", TargetCondition.class),
                            in.readLong("releasedVersion"),
                            in.readMap(
                                    "requestsBySlice",
                                    () -> in.readInt("requestsBySlice"),
                                    () -> in.readLong("requestsBySlice")))),
            new MessageLayout<>(
                    10,
                    BudgetRequest.class,
                    3,
                    (out, message) -> out.writeString(message.budget())
                            .writeLong(message.tokens())
                            .writeLong(message.lifetimeMillis()),
                    in -> new BudgetRequest(
                            in.readString("budget"), in.readInt("tokens"), in.readLong("lifetimeMillis"))),
            new MessageLayout<>(
                    11,
                    BudgetGrant.class,
                    3,
                    (out, message) -> out.writeBoolean(message.fromIssuer())
                            .writeLong(message.tokens())
                            .writeLong(message.retryAfterMillis()),
                    in -> new BudgetGrant(
                            in.readBoolean("holder"), in.readInt("tokens"), in.readLong("retryAfterMillis"))),
            new MessageLayout<>(
                    12,
                    LoadProbe.class,
                    1,
                    (out, message) -> out.writeString(message.target()),
                    in -> new LoadProbe(in.readString("target"))),
            new MessageLayout<>(
                    13,
                    LoadAnswer.class,
                    6,
                    (out, message) -> out.writeString(message.target())
                            .writeBoolean(message.available())
                            .writeLong(message.inFlight())
                            .writeLong(message.queued())
                            .writeLong(message.limit())
                            .writeLong(message.latencyMicros()),
                    in -> new LoadAnswer(
                            in.readString("target"),
                            in.readBoolean("available"),
                            in.readInt("inFlight"),
                            in.readInt("queued"),
                            in.readInt("limit"),
                            in.readLong("latencyMicros"))),
            new MessageLayout<>(
                    14,
                    ForwardRequest.class,
                    13,
                    MessageLayouts::writeForwardRequest,
                    MessageLayouts::readForwardRequest),
            new MessageLayout<>(
                    15, ForwardAnswer.class, 5, MessageLayouts::writeForwardAnswer, MessageLayouts::readForwardAnswer),
            new MessageLayout<>(
                    16,
                    CancelRequest.class,
                    1,
                    (out, message) -> out.writeString(message.requestId()),
                    in -> new CancelRequest(in.readString("requestId"))),
            new MessageLayout<>(
                    17,
                    LoadSummary.class,
                    2,
                    (out, message) -> out.writeList(
                                    message.keys(),
                                    key -> out.writeArrayHeader(3)
                                            .writeString(key.pool())
                                            .writeLong(key.key())
                                            .writeLong(key.requests()))
                            .writeList(
                                    message.timings(),
                                    timing -> out.writeArrayHeader(3)
                                            .writeString(timing.life())
                                            .writeLong(timing.answers())
                                            .writeDouble(timing.meanMillis())),
                    in -> new LoadSummary(
                            in.readList("keys", () -> readKeyCount(in)), in.readList("timings", () -> readTiming(in)))),
            new MessageLayout<>(
                    18,
                    ReportAnswer.class,
                    1,
                    (out, message) -> out.writeBoolean(message.accepted()),
                    in -> new ReportAnswer(in.readBoolean("accepted"))),
            new MessageLayout<>(
                    19,
                    MirrorRequest.class,
                    1,
                    (out, message) -> out.writeLong(message.knownRevision()),
                    in -> new MirrorRequest(in.readLong("knownRevision"))),
            new MessageLayout<>(
                    20,
                    MirrorAnswer.class,
                    6,
                    (out, message) -> out.writeLong(message.revision())
                            .writeLong(message.storeAgeMillis())
                            .writeLong(message.leaderAgeMillis())
                            .writeBoolean(message.whole())
                            .writeList(message.items(), item -> writeItem(out, item))
                            .writeList(message.removed(), item -> writeItem(out, item)),
                    in -> new MirrorAnswer(
                            in.readLong("revision"),
                            in.readLong("storeAgeMillis"),
                            in.readLong("leaderAgeMillis"),
                            in.readBoolean("whole"),
                            in.readList("items", () -> readItem(in)),
                            in.readList("removed", () -> readItem(in)))),
            new MessageLayout<>(
                    21,
                    MirrorDelta.class,
                    8,
                    (out, message) -> out.writeLong(message.fromRevision())
                            .writeLong(message.toRevision())
                            .writeLong(message.storeAgeMillis())
                            .writeList(message.written(), item -> writeItem(out, item))
                            .writeList(message.removed(), item -> writeItem(out, item))
                            .writeList(
                                    message.patches(),
                                    patch -> out.writeArrayHeader(4)
                                            .writeString(patch.key())
                                            .writeLong(patch.baseRevision())
                                            .writeLong(patch.revision())
                                            .writeBytes(patch.content()))
                            .writeBoolean(message.forward())
                            .writeLong(message.sentMillis()),
                    in -> new MirrorDelta(
                            in.readLong("fromRevision"),
                            in.readLong("toRevision"),
                            in.readLong("storeAgeMillis"),
                            in.readList("written", () -> readItem(in)),
                            in.readList("removed", () -> readItem(in)),
                            in.readList("patches", () -> readPatch(in)),
                            in.readBoolean("forward"),
                            in.readLong("sentMillis"))),
            new MessageLayout<>(
                    22,
                    TermEndRequest.class,
                    1,
                    (out, message) -> out.writeLong(message.lease()),
                    in -> new TermEndRequest(in.readLong("lease"))),
            new MessageLayout<>(
                    23,
                    TermEndAnswer.class,
                    1,
                    (out, message) -> out.writeBoolean(message.ended()),
                    in -> new TermEndAnswer(in.readBoolean("ended"))),
            new MessageLayout<>(
                    24,
                    LeavingTargets.class,
                    1,
                    (out, message) -> out.writeList(message.incarnations(), out::writeString),
                    in -> new LeavingTargets(in.readList("incarnations", () -> in.readString("incarnations")))),
            new MessageLayout<>(
                    29,
                    RelayAcknowledgement.class,
                    2,
                    (out, message) -> out.writeBoolean(message.accepted()).writeLong(message.receivedMillis()),
                    in -> new RelayAcknowledgement(in.readBoolean("accepted"), in.readLong("receivedMillis"))),
            new MessageLayout<>(
                    30,
                    ObservationDelta.class,
                    2,
                    (out, message) ->
                            ObservationLayout.writeAll(out.writeLong(message.knownSequence()), message.observations()),
                    in -> new ObservationDelta(in.readLong("knownSequence"), ObservationLayout.readAll(in))),
            new MessageLayout<>(
                    31,
                    ObservationAnswer.class,
                    2,
                    (out, message) ->
                            ObservationLayout.writeAll(out.writeLong(message.sequence()), message.observations()),
                    in -> new ObservationAnswer(in.readLong("sequence"), ObservationLayout.readAll(in))),
            RolloutReportLayout.create());

    private MessageLayouts() {}

    private static FieldWriter writeVersions(FieldWriter out, RecordVersions versions) {
        return out.writeMap(versions.byName(), out::writeString, out::writeLong);
    }

    private static RecordVersions readVersions(FieldReader in) {
        return new RecordVersions(
                in.readMap("versions", () -> in.readString("versions"), () -> in.readLong("versions")));
    }

    private static void writeForwardRequest(FieldWriter out, ForwardRequest message) {
        Optional<Integer> slice =
                message.slice().isPresent() ? Optional.of(message.slice().getAsInt()) : Optional.empty();
        out.writeString(message.requestId())
                .writeString(message.organisation())
                .writeString(message.keyDigest())
                .writeString(message.route())
                .writeString(message.pool())
                .writeString(message.target())
                .writeOptional(slice, value -> out.writeLong(value))
                .writeLong(message.tableVersion())
                .writeLong(message.remainingMillis())
                .writeString(message.method())
                .writeString(message.uri())
                .writeHeaders(message.headers())
                .writeBytes(message.body());
    }

    private static ForwardRequest readForwardRequest(FieldReader in) {
        return new ForwardRequest(
                in.readString("requestId"),
                in.readString("organisation"),
                in.readString("keyDigest"),
                in.readString("route"),
                in.readString("pool"),
                in.readString("target"),
                in.readOptional("slice", () -> in.readInt("slice"))
                        .map(OptionalInt::of)
                        .orElseGet(OptionalInt::empty),
                in.readLong("tableVersion"),
                in.readLong("remainingMillis"),
                in.readString("method"),
                in.readString("uri"),
                in.readHeaders("headers"),
                in.readBytes("body"));
    }

    private static void writeForwardAnswer(FieldWriter out, ForwardAnswer message) {
        out.writeString(message.requestId())
                .writeOptional(
                        message.refusal(),
                        refusal -> out.writeArrayHeader(3)
                                .writeString(refusal.kind().name())
                                .writeString(refusal.detail())
                                .writeOptional(refusal.retryAfterMillis(), out::writeLong))
                .writeLong(message.status())
                .writeHeaders(message.headers())
                .writeBytes(message.body());
    }

    private static ForwardAnswer readForwardAnswer(FieldReader in) {
        return new ForwardAnswer(
                in.readString("requestId"),
                in.readOptional("refusal", () -> readRefusal(in)),
                in.readInt("status"),
                in.readHeaders("headers"),
                in.readBytes("body"));
    }

    private static Refusal readRefusal(FieldReader in) {
        if (in.readArrayHeader("refusal") != 3) {
            throw in.failure("refusal", "does not have 3 fields");
        }
        return new Refusal(
                in.readEnum("refusal.kind", ErrorKind.class),
                in.readString("refusal.detail"),
                in.readOptional("refusal.retryAfterMillis", () -> in.readLong("refusal.retryAfterMillis")));
    }

    private static LoadSummary.KeyCount readKeyCount(FieldReader in) {
        requireFieldCount(in, "key", 3);
        return new LoadSummary.KeyCount(in.readString("pool"), in.readInt("key"), in.readInt("requests"));
    }

    private static LoadSummary.TargetTiming readTiming(FieldReader in) {
        requireFieldCount(in, "timing", 3);
        return new LoadSummary.TargetTiming(in.readString("life"), in.readInt("answers"), in.readDouble("meanMillis"));
    }

    private static FieldWriter writeItem(FieldWriter out, MirrorAnswer.Item item) {
        return out.writeArrayHeader(5)
                .writeString(item.key())
                .writeLong(item.revision())
                .writeLong(item.lease())
                .writeBoolean(item.compressed())
                .writeBytes(item.value());
    }

    private static MirrorAnswer.Item readItem(FieldReader in) {
        requireFieldCount(in, "item", 5);
        return new MirrorAnswer.Item(
                in.readString("key"),
                in.readLong("revision"),
                in.readLong("lease"),
                in.readBoolean("compressed"),
                in.readBytes("value"));
    }

    private static MirrorDelta.Patch readPatch(FieldReader in) {
        requireFieldCount(in, "patch", 4);
        return new MirrorDelta.Patch(
                in.readString("key"), in.readLong("baseRevision"), in.readLong("revision"), in.readBytes("content"));
    }

    private static void requireFieldCount(FieldReader in, String name, int count) {
        if (in.readArrayHeader(name) != count) {
            throw in.failure(name, "does not have " + count + " fields");
        }
    }
}
