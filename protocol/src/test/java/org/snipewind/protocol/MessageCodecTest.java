package org.snipewind.protocol;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.lang.reflect.RecordComponent;
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

class MessageCodecTest {

    private static final List<Class<?>> KINDS = List.of(PeerMessage.class.getPermittedSubclasses());

    // Guards against a field that is left out, swapped with another of its type, or narrowed.
    @Property(tries = 100)
    void everyKindOfMessageSurvivesARoundTrip(@ForAll long seed) throws ReflectiveOperationException {
        for (Class<?> kind : KINDS) {
            PeerMessage message = random(kind, new Random(seed));
            PeerMessage decoded = MessageCodec.decode(MessageCodec.encode(message));
            assertThat(decoded.getClass()).isEqualTo(kind);
            for (RecordComponent component : kind.getRecordComponents()) {
                Object expected = component.getAccessor().invoke(message);
                Object actual = component.getAccessor().invoke(decoded);
                assertWithMessage("%s", component).that(actual).isEqualTo(expected);
            }
        }
    }

    // Guards against a decoder that accepts part of a message, or fails with something other than FrameException.
    @Property(tries = 50)
    void everyTruncatedMessageIsRefused(@ForAll long seed) throws ReflectiveOperationException {
        for (Class<?> kind : KINDS) {
            byte[] whole = MessageCodec.encode(random(kind, new Random(seed)));
            for (int length = 0; length < whole.length; length++) {
                byte[] part = Arrays.copyOf(whole, length);
                assertThrows(FrameException.class, () -> MessageCodec.decode(part));
            }
        }
    }

    // Guards against another exception than FrameException, or a huge allocation, on bytes that a peer made up.
    @Property(tries = 1000)
    void alteredBytesGiveAMessageOrAFrameException(@ForAll long seed) throws ReflectiveOperationException {
        Random random = new Random(seed);
        for (Class<?> kind : KINDS) {
            byte[] bytes = MessageCodec.encode(random(kind, random));
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
                out -> out.arrayHeader(2).number(12).number(1));
        assertFailure(
                "LoadProbe.fields has 1 elements, not 2",
                out -> out.arrayHeader(1).number(12));
        assertFailure(
                "message.type has the unknown value 99",
                out -> out.arrayHeader(1).number(99));
        assertFailure(
                "LoadProbe.end is followed by 1 bytes",
                out -> out.arrayHeader(2).number(12).text("target").flag(true));
        assertFailure(
                "BudgetRequest.tokens is malformed",
                out -> out.arrayHeader(3).number(10).text("budget").number(1L << 40));
    }

    // Guards against allocating what a length field promises before the bytes are there.
    @Test
    void aLengthBeyondTheFrameIsRefusedBeforeAllocation() {
        byte[] hugeText = {(byte) 0x92, 12, (byte) 0xdb, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff, 'a'};
        FrameException failure = assertThrows(FrameException.class, () -> MessageCodec.decode(hugeText));
        assertThat(failure).hasMessageThat().contains("LoadProbe.target states a length of 2147483647");
    }

    private static void assertFailure(String text, Consumer<FieldWriter> content) {
        FieldWriter out = new FieldWriter();
        content.accept(out);
        FrameException failure = assertThrows(FrameException.class, () -> MessageCodec.decode(out.toByteArray()));
        assertThat(failure).hasMessageThat().contains(text);
    }

    private static PeerMessage random(Class<?> kind, Random random) throws ReflectiveOperationException {
        RecordComponent[] components = kind.getRecordComponents();
        Class<?>[] types =
                Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
        Object[] values = Arrays.stream(components)
                .map(component -> value(component, random))
                .toArray();
        return (PeerMessage) kind.getDeclaredConstructor(types).newInstance(values);
    }

    private static Object value(RecordComponent component, Random random) {
        return switch (component.getGenericType().getTypeName()) {
            case "long" -> random.nextLong() >> random.nextInt(64);
            case "int" -> random.nextInt() >> random.nextInt(32);
            case "boolean" -> random.nextBoolean();
            case "byte[]" -> {
                byte[] bytes = new byte[random.nextInt(300)];
                random.nextBytes(bytes);
                yield bytes;
            }
            case "java.lang.String" -> text(random);
            case "java.util.OptionalInt" ->
                random.nextBoolean() ? OptionalInt.of(random.nextInt(1024)) : OptionalInt.empty();
            case "java.util.Map<java.lang.Integer, java.lang.Long>" ->
                Map.of(random.nextInt(1024), random.nextLong(), 2000, 1L);
            case "java.util.Map<java.lang.String, java.util.List<java.lang.String>>" -> headers(random);
            case "java.util.Optional<org.snipewind.coordination.error.Refusal>" -> refusal(random);
            case "java.util.List<org.snipewind.protocol.LoadSummary$KeyCount>" ->
                List.of(new LoadSummary.KeyCount(text(random), random.nextInt(), random.nextInt()));
            case "java.util.List<org.snipewind.protocol.LoadSummary$TargetTiming>" ->
                List.of(new LoadSummary.TargetTiming(text(random), random.nextInt(), random.nextDouble()));
            case "java.util.List<org.snipewind.protocol.MirrorAnswer$Item>" ->
                List.of(new MirrorAnswer.Item(
                        text(random), random.nextLong(), random.nextLong(), new byte[] {(byte) random.nextInt()}));
            case "java.util.List<org.snipewind.protocol.MirrorDelta$Patch>" ->
                List.of(new MirrorDelta.Patch(
                        text(random), random.nextLong(), random.nextLong(), new byte[] {(byte) random.nextInt()}));
            default -> other(component.getType(), random);
        };
    }

    private static Object other(Class<?> type, Random random) {
        if (type == RecordVersions.class) {
            return new RecordVersions(Map.of(text(random), random.nextLong()));
        }
        assertThat(type).isEqualTo(TargetCondition.class);
        return TargetCondition.values()[random.nextInt(TargetCondition.values().length)];
    }

    private static Map<String, List<String>> headers(Random random) {
        Map<String, List<String>> headers = new LinkedHashMap<>();
        for (int count = random.nextInt(4); count > 0; count--) {
            headers.put(text(random), List.of(text(random), text(random)));
        }
        return headers;
    }

    private static Optional<Refusal> refusal(Random random) {
        ErrorKind kind = ErrorKind.values()[random.nextInt(ErrorKind.values().length)];
        Optional<Long> retry = random.nextBoolean() ? Optional.of(random.nextLong()) : Optional.empty();
        return random.nextBoolean() ? Optional.of(new Refusal(kind, text(random), retry)) : Optional.empty();
    }

    private static String text(Random random) {
        return random.ints(random.nextInt(40), 0, 0x11_0000)
                .filter(point -> point < Character.MIN_SURROGATE || point > Character.MAX_SURROGATE)
                .collect(StringBuilder::new, StringBuilder::appendCodePoint, StringBuilder::append)
                .toString();
    }
}
