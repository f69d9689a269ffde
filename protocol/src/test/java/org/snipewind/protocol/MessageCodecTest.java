package org.snipewind.protocol;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.function.Consumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.coordination.target.ObservedLoad;
import org.snipewind.coordination.target.TargetObservation;

class MessageCodecTest {

    private static final List<Class<?>> MESSAGE_CLASSES = List.of(PeerMessage.class.getPermittedSubclasses());

    // Guards against a field that is omitted, swapped with another of its type, or narrowed to a smaller type.
    @Property(tries = 100)
    void everyTypeOfMessageSurvivesARoundTrip(@ForAll long seed) throws ReflectiveOperationException {
        for (Class<?> messageClass : MESSAGE_CLASSES) {
            PeerMessage message = randomMessage(messageClass, new Random(seed));
            PeerMessage decoded = MessageCodec.decode(MessageCodec.encode(message));
            assertThat(decoded.getClass()).isEqualTo(messageClass);
            for (RecordComponent component : messageClass.getRecordComponents()) {
                Object expected = component.getAccessor().invoke(message);
                Object actual = component.getAccessor().invoke(decoded);
                assertWithMessage("%s", component).that(actual).isEqualTo(expected);
            }
        }
    }

    // Guards against a decoder that accepts a truncated message, or throws anything other than FrameException.
    @Property(tries = 50)
    void everyTruncatedMessageIsRejected(@ForAll long seed) throws ReflectiveOperationException {
        for (Class<?> messageClass : MESSAGE_CLASSES) {
            byte[] whole = MessageCodec.encode(randomMessage(messageClass, new Random(seed)));
            for (int length = 0; length < whole.length; length++) {
                byte[] truncated = Arrays.copyOf(whole, length);
                assertThrows(FrameException.class, () -> MessageCodec.decode(truncated));
            }
        }
    }

    // Guards against an exception other than FrameException, and against a huge allocation, on corrupt or forged bytes.
    @Property(tries = 1000)
    void alteredBytesDecodeToAMessageOrThrowAFrameException(@ForAll long seed) throws ReflectiveOperationException {
        Random random = new Random(seed);
        for (Class<?> messageClass : MESSAGE_CLASSES) {
            byte[] bytes = MessageCodec.encode(randomMessage(messageClass, random));
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
            try {
                assertThat(MessageCodec.decode(bytes)).isNotNull();
            } catch (FrameException e) {
                assertThat(e).hasMessageThat().contains(".");
            }
        }
    }

    @Test
    void aFailureNamesTheMessageAndTheField() {
        assertFailure(
                "LoadProbe.target is INTEGER, not STRING",
                out -> out.writeArrayHeader(2).writeLong(12).writeLong(1));
        assertFailure(
                "LoadProbe.fields has 1 elements, not 2",
                out -> out.writeArrayHeader(1).writeLong(12));
        assertFailure(
                "message.type has the unknown value 99",
                out -> out.writeArrayHeader(1).writeLong(99));
        assertFailure(
                "LoadProbe.end is followed by 1 bytes",
                out -> out.writeArrayHeader(2)
                        .writeLong(12)
                        .writeString("target")
                        .writeBoolean(true));
        assertFailure(
                "BudgetRequest.tokens is malformed",
                out -> out.writeArrayHeader(4)
                        .writeLong(10)
                        .writeString("budget")
                        .writeLong(1L << 40)
                        .writeLong(60));
    }

    // Guards against an allocation of the size that a length field states, before the bytes have been received.
    @Test
    void aLengthBeyondTheFrameIsRejectedBeforeAllocation() {
        byte[] hugeText = {(byte) 0x92, 12, (byte) 0xdb, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff, 'a'};
        FrameException failure = assertThrows(FrameException.class, () -> MessageCodec.decode(hugeText));
        assertThat(failure).hasMessageThat().contains("LoadProbe.target states a length of 2147483647");
    }

    /** Guards against messages that are dear for instances that exchange them several times a second. */
    @Test
    void observationsOfTargetsTakeFewBytes() {
        assertThat(MessageCodec.encode(new ObservationDelta(1_000, List.of())).length)
                .isAtMost(8);
        List<TargetObservation> observations = new ArrayList<>();
        for (int index = 0; index < 100; index++) {
            ObservedLoad load = new ObservedLoad(240, 3, 11, 3, 300);
            int target = TargetObservation.numberOf("previews-" + index + "@1733482000000");
            observations.add(new TargetObservation(target, 4, 1_912, 1, Optional.of(load)));
        }
        assertThat(MessageCodec.encode(new ObservationAnswer(1_000, observations)).length)
                .isAtMost(2_200);
    }

    private static void assertFailure(String text, Consumer<FieldWriter> content) {
        FieldWriter out = new FieldWriter();
        content.accept(out);
        FrameException failure = assertThrows(FrameException.class, () -> MessageCodec.decode(out.toByteArray()));
        assertThat(failure).hasMessageThat().contains(text);
    }

    private static PeerMessage randomMessage(Class<?> messageClass, Random random) throws ReflectiveOperationException {
        RecordComponent[] components = messageClass.getRecordComponents();
        Class<?>[] types =
                Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
        Object[] values = Arrays.stream(components)
                .map(component -> randomValue(component, random))
                .toArray();
        return (PeerMessage) messageClass.getDeclaredConstructor(types).newInstance(values);
    }

    private static Object randomValue(RecordComponent component, Random random) {
        return switch (component.getGenericType().getTypeName()) {
            case "long" -> random.nextLong() >> random.nextInt(64);
            case "int" -> random.nextInt() >> random.nextInt(32);
            case "boolean" -> random.nextBoolean();
            case "byte[]" -> {
                byte[] bytes = new byte[random.nextInt(300)];
                random.nextBytes(bytes);
                yield bytes;
            }
            case "java.lang.String" -> randomText(random);
            case "java.util.List<java.lang.String>" -> List.of(randomText(random), randomText(random));
            case "java.util.OptionalInt" ->
                random.nextBoolean() ? OptionalInt.of(random.nextInt(1024)) : OptionalInt.empty();
            case "java.util.Map<java.lang.Integer, java.lang.Long>" ->
                Map.of(random.nextInt(1024), random.nextLong(), 2000, 1L);
            case "java.util.Map<java.lang.String, java.util.List<java.lang.String>>" -> randomHeaders(random);
            case "java.util.Optional<org.snipewind.coordination.error.Refusal>" -> randomRefusal(random);
            case "java.util.List<org.snipewind.protocol.LoadSummary$KeyCount>" ->
                List.of(new LoadSummary.KeyCount(randomText(random), random.nextInt(), random.nextInt()));
            case "java.util.List<org.snipewind.protocol.LoadSummary$TargetTiming>" ->
                List.of(new LoadSummary.TargetTiming(randomText(random), random.nextInt(), random.nextDouble()));
            case "java.util.List<org.snipewind.coordination.target.TargetObservation>" ->
                List.of(randomObservation(random), randomObservation(random));
            case "java.util.List<org.snipewind.protocol.MirrorAnswer$Item>" ->
                List.of(new MirrorAnswer.Item(
                        randomText(random), random.nextLong(), random.nextLong(), random.nextBoolean(), new byte[] {
                            (byte) random.nextInt()
                        }));
            case "java.util.List<org.snipewind.protocol.RolloutReport$PoolReport>" ->
                List.of(new RolloutReport.PoolReport(
                        randomText(random),
                        random.nextLong(),
                        random.nextLong(),
                        random.nextInt(),
                        List.of(new RolloutReport.RouteCount(
                                randomText(random),
                                randomText(random),
                                random.nextLong(),
                                random.nextLong(),
                                0,
                                2.5))));
            case "java.util.List<org.snipewind.protocol.MirrorDelta$Patch>" ->
                List.of(new MirrorDelta.Patch(
                        randomText(random), random.nextLong(), random.nextLong(), new byte[] {(byte) random.nextInt()
                        }));
            default -> randomProtocolType(component.getType(), random);
        };
    }

    private static Object randomProtocolType(Class<?> type, Random random) {
        if (type == RecordVersions.class) {
            return new RecordVersions(Map.of(randomText(random), random.nextLong()));
        }
        assertThat(type).isEqualTo(TargetCondition.class);
        return TargetCondition.values()[random.nextInt(TargetCondition.values().length)];
    }

    private static TargetObservation randomObservation(Random random) {
        Optional<ObservedLoad> load = random.nextBoolean()
                ? Optional.of(new ObservedLoad(
                        random.nextInt(), random.nextInt(), random.nextInt(), random.nextInt(), random.nextInt()))
                : Optional.empty();
        return new TargetObservation(random.nextInt(), random.nextInt(), random.nextInt(), random.nextInt(), load);
    }

    private static Map<String, List<String>> randomHeaders(Random random) {
        Map<String, List<String>> headers = new LinkedHashMap<>();
        for (int count = random.nextInt(4); count > 0; count--) {
            headers.put(randomText(random), List.of(randomText(random), randomText(random)));
        }
        return headers;
    }

    private static Optional<Refusal> randomRefusal(Random random) {
        ErrorKind kind = ErrorKind.values()[random.nextInt(ErrorKind.values().length)];
        Optional<Long> retryAfterMillis = random.nextBoolean() ? Optional.of(random.nextLong()) : Optional.empty();
        return random.nextBoolean()
                ? Optional.of(new Refusal(kind, randomText(random), retryAfterMillis))
                : Optional.empty();
    }

    private static String randomText(Random random) {
        return random.ints(random.nextInt(40), 0, 0x11_0000)
                .filter(codePoint -> codePoint < Character.MIN_SURROGATE || codePoint > Character.MAX_SURROGATE)
                .collect(StringBuilder::new, StringBuilder::appendCodePoint, StringBuilder::append)
                .toString();
    }
}
