package org.snipewind.protocol;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Refusal;

/** The table of message layouts. */
final class MessageLayouts {

    static final List<MessageLayout<?>> ALL = List.of(
            new MessageLayout<>(
                    1,
                    TargetReportAnswer.class,
                    2,
                    (out, message) -> out.flag(message.accepted()).number(message.tableVersion()),
                    in -> new TargetReportAnswer(in.flag("accepted"), in.number("tableVersion"))),
            new MessageLayout<>(
                    2,
                    Heartbeat.class,
                    3,
                    (out, message) -> versions(out.number(message.sequence()), message.versions())
                            .number(message.storeContactAgeMillis()),
                    in -> new Heartbeat(in.number("sequence"), versions(in), in.number("storeContactAgeMillis"))),
            new MessageLayout<>(
                    3,
                    HeartbeatAcknowledgement.class,
                    5,
                    (out, message) -> versions(
                                    out.text(message.witness())
                                            .number(message.sequence())
                                            .flag(message.accepted()),
                                    message.versions())
                            .number(message.storeContactAgeMillis()),
                    in -> new HeartbeatAcknowledgement(
                            in.text("witness"),
                            in.number("sequence"),
                            in.flag("accepted"),
                            versions(in),
                            in.number("storeContactAgeMillis"))),
            new MessageLayout<>(
                    4,
                    ExpiryQuery.class,
                    1,
                    (out, message) -> out.text(message.holder()),
                    in -> new ExpiryQuery(in.text("holder"))),
            new MessageLayout<>(
                    5,
                    ExpiryAnswer.class,
                    3,
                    (out, message) ->
                            out.text(message.witness()).text(message.holder()).flag(message.expired()),
                    in -> new ExpiryAnswer(in.text("witness"), in.text("holder"), in.flag("expired"))),
            new MessageLayout<>(
                    6,
                    RecordPush.class,
                    3,
                    (out, message) ->
                            out.text(message.name()).number(message.version()).bytes(message.content()),
                    in -> new RecordPush(in.text("name"), in.number("version"), in.bytes("content"))),
            new MessageLayout<>(
                    7,
                    RecordFetch.class,
                    1,
                    (out, message) -> out.text(message.name()),
                    in -> new RecordFetch(in.text("name"))),
            new MessageLayout<>(
                    8,
                    RecordAnswer.class,
                    3,
                    (out, message) ->
                            out.text(message.name()).number(message.version()).bytes(message.content()),
                    in -> new RecordAnswer(in.text("name"), in.number("version"), in.bytes("content"))),
            new MessageLayout<>(
                    9,
                    TargetReport.class,
                    6,
                    (out, message) -> out.text(message.pool())
                            .text(message.target())
                            .number(message.token())
                            .text(message.condition().name())
                            .number(message.releasedVersion())
                            .map(message.requestsBySlice(), slice -> out.number(slice), out::number),
                    in -> new TargetReport(
                            in.text("pool"),
                            in.text("target"),
                            in.number("token"),
                            in.constant("condition", TargetCondition.class),
                            in.number("releasedVersion"),
                            in.map(
                                    "requestsBySlice",
                                    () -> in.integer("requestsBySlice"),
                                    () -> in.number("requestsBySlice")))),
            new MessageLayout<>(
                    10,
                    BudgetRequest.class,
                    2,
                    (out, message) -> out.text(message.budget()).number(message.tokens()),
                    in -> new BudgetRequest(in.text("budget"), in.integer("tokens"))),
            new MessageLayout<>(
                    11,
                    BudgetGrant.class,
                    3,
                    (out, message) ->
                            out.flag(message.holder()).number(message.tokens()).number(message.retryAfterMillis()),
                    in -> new BudgetGrant(in.flag("holder"), in.integer("tokens"), in.number("retryAfterMillis"))),
            new MessageLayout<>(
                    12,
                    LoadProbe.class,
                    1,
                    (out, message) -> out.text(message.target()),
                    in -> new LoadProbe(in.text("target"))),
            new MessageLayout<>(
                    13,
                    LoadAnswer.class,
                    6,
                    (out, message) -> out.text(message.target())
                            .flag(message.available())
                            .number(message.inFlight())
                            .number(message.queued())
                            .number(message.limit())
                            .number(message.latencyMicros()),
                    in -> new LoadAnswer(
                            in.text("target"),
                            in.flag("available"),
                            in.integer("inFlight"),
                            in.integer("queued"),
                            in.integer("limit"),
                            in.number("latencyMicros"))),
            new MessageLayout<>(
                    14, ForwardRequest.class, 13, MessageLayouts::writeRequest, MessageLayouts::readRequest),
            new MessageLayout<>(15, ForwardAnswer.class, 5, MessageLayouts::writeAnswer, MessageLayouts::readAnswer),
            new MessageLayout<>(
                    16,
                    CancelRequest.class,
                    1,
                    (out, message) -> out.text(message.requestId()),
                    in -> new CancelRequest(in.text("requestId"))),
            new MessageLayout<>(
                    17,
                    LoadSummary.class,
                    2,
                    (out, message) -> out.list(
                                    message.keys(),
                                    key -> out.arrayHeader(3)
                                            .text(key.pool())
                                            .number(key.key())
                                            .number(key.requests()))
                            .list(
                                    message.timings(),
                                    timing -> out.arrayHeader(3)
                                            .text(timing.life())
                                            .number(timing.answers())
                                            .real(timing.meanMillis())),
                    in -> new LoadSummary(
                            in.list("keys", () -> readKeyCount(in)), in.list("timings", () -> readTiming(in)))),
            new MessageLayout<>(
                    18,
                    ReportAnswer.class,
                    1,
                    (out, message) -> out.flag(message.accepted()),
                    in -> new ReportAnswer(in.flag("accepted"))),
            new MessageLayout<>(
                    19,
                    MirrorRequest.class,
                    1,
                    (out, message) -> out.number(message.knownRevision()),
                    in -> new MirrorRequest(in.number("knownRevision"))),
            new MessageLayout<>(
                    20,
                    MirrorAnswer.class,
                    4,
                    (out, message) -> out.number(message.revision())
                            .number(message.storeAgeMillis())
                            .number(message.leaderAgeMillis())
                            .list(message.items(), item -> writeItem(out, item)),
                    in -> new MirrorAnswer(
                            in.number("revision"),
                            in.number("storeAgeMillis"),
                            in.number("leaderAgeMillis"),
                            in.list("items", () -> readItem(in)))),
            new MessageLayout<>(
                    21,
                    MirrorDelta.class,
                    6,
                    (out, message) -> out.number(message.fromRevision())
                            .number(message.toRevision())
                            .number(message.storeAgeMillis())
                            .list(message.written(), item -> writeItem(out, item))
                            .list(message.removed(), item -> writeItem(out, item))
                            .list(
                                    message.patches(),
                                    patch -> out.arrayHeader(4)
                                            .text(patch.key())
                                            .number(patch.baseRevision())
                                            .number(patch.revision())
                                            .bytes(patch.content())),
                    in -> new MirrorDelta(
                            in.number("fromRevision"),
                            in.number("toRevision"),
                            in.number("storeAgeMillis"),
                            in.list("written", () -> readItem(in)),
                            in.list("removed", () -> readItem(in)),
                            in.list("patches", () -> readPatch(in)))),
            new MessageLayout<>(
                    22,
                    TermEndRequest.class,
                    1,
                    (out, message) -> out.number(message.lease()),
                    in -> new TermEndRequest(in.number("lease"))),
            new MessageLayout<>(
                    23,
                    TermEndAnswer.class,
                    1,
                    (out, message) -> out.flag(message.ended()),
                    in -> new TermEndAnswer(in.flag("ended"))));

    private MessageLayouts() {}

    private static FieldWriter versions(FieldWriter out, RecordVersions versions) {
        return out.map(versions.byName(), out::text, out::number);
    }

    private static RecordVersions versions(FieldReader in) {
        return new RecordVersions(in.map("versions", () -> in.text("versions"), () -> in.number("versions")));
    }

    private static void writeRequest(FieldWriter out, ForwardRequest message) {
        Optional<Integer> slice =
                message.slice().isPresent() ? Optional.of(message.slice().getAsInt()) : Optional.empty();
        out.text(message.requestId())
                .text(message.organisation())
                .text(message.keyDigest())
                .text(message.route())
                .text(message.pool())
                .text(message.target())
                .optional(slice, value -> out.number(value))
                .number(message.tableVersion())
                .number(message.remainingMillis())
                .text(message.method())
                .text(message.uri())
                .headers(message.headers())
                .bytes(message.body());
    }

    private static ForwardRequest readRequest(FieldReader in) {
        return new ForwardRequest(
                in.text("requestId"),
                in.text("organisation"),
                in.text("keyDigest"),
                in.text("route"),
                in.text("pool"),
                in.text("target"),
                in.optional("slice", () -> in.integer("slice"))
                        .map(OptionalInt::of)
                        .orElseGet(OptionalInt::empty),
                in.number("tableVersion"),
                in.number("remainingMillis"),
                in.text("method"),
                in.text("uri"),
                in.headers("headers"),
                in.bytes("body"));
    }

    private static void writeAnswer(FieldWriter out, ForwardAnswer message) {
        out.text(message.requestId())
                .optional(
                        message.refusal(),
                        refusal -> out.arrayHeader(3)
                                .text(refusal.kind().name())
                                .text(refusal.detail())
                                .optional(refusal.retryAfterMillis(), out::number))
                .number(message.status())
                .headers(message.headers())
                .bytes(message.body());
    }

    private static ForwardAnswer readAnswer(FieldReader in) {
        return new ForwardAnswer(
                in.text("requestId"),
                in.optional("refusal", () -> readRefusal(in)),
                in.integer("status"),
                in.headers("headers"),
                in.bytes("body"));
    }

    private static Refusal readRefusal(FieldReader in) {
        if (in.arrayHeader("refusal") != 3) {
            throw in.failure("refusal", "does not have 3 fields");
        }
        return new Refusal(
                in.constant("refusal.kind", ErrorKind.class),
                in.text("refusal.detail"),
                in.optional("refusal.retryAfterMillis", () -> in.number("refusal.retryAfterMillis")));
    }

    private static LoadSummary.KeyCount readKeyCount(FieldReader in) {
        requireFields(in, "key", 3);
        return new LoadSummary.KeyCount(in.text("pool"), in.integer("key"), in.integer("requests"));
    }

    private static LoadSummary.TargetTiming readTiming(FieldReader in) {
        requireFields(in, "timing", 3);
        return new LoadSummary.TargetTiming(in.text("life"), in.integer("answers"), in.real("meanMillis"));
    }

    private static FieldWriter writeItem(FieldWriter out, MirrorAnswer.Item item) {
        return out.arrayHeader(4)
                .text(item.key())
                .number(item.revision())
                .number(item.lease())
                .bytes(item.value());
    }

    private static MirrorAnswer.Item readItem(FieldReader in) {
        requireFields(in, "item", 4);
        return new MirrorAnswer.Item(in.text("key"), in.number("revision"), in.number("lease"), in.bytes("value"));
    }

    private static MirrorDelta.Patch readPatch(FieldReader in) {
        requireFields(in, "patch", 4);
        return new MirrorDelta.Patch(
                in.text("key"), in.number("baseRevision"), in.number("revision"), in.bytes("content"));
    }

    private static void requireFields(FieldReader in, String name, int count) {
        if (in.arrayHeader(name) != count) {
            throw in.failure(name, "does not have " + count + " fields");
        }
    }
}
