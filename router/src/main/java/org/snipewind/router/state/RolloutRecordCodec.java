package org.snipewind.router.state;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.snipewind.coordination.rollout.RolloutPhase;
import org.snipewind.coordination.rollout.RolloutRecord;

/** Encodes the records of roll-outs as MessagePack. */
public final class RolloutRecordCodec {

    private RolloutRecordCodec() {}

    /**
     * Encodes a record.
     *
     * @param record the record
     * @return the encoded record
     */
    public static byte[] encode(RolloutRecord record) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packString(record.version());
            packer.packLong(record.orderRevision());
            packer.packString(record.phase().name());
            packer.packDouble(record.share());
            packer.packLong(record.durationMillis());
            packer.packLong(record.elapsedMillis());
            packNames(packer, record.retired());
            packNames(packer, record.rejected());
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("could not encode the record of a roll-out", e);
        }
    }

    private static void packNames(MessageBufferPacker packer, List<String> names) throws IOException {
        packer.packArrayHeader(names.size());
        for (String name : names) {
            packer.packString(name);
        }
    }

    /**
     * Decodes a record.
     *
     * @param bytes the encoded record
     * @return the record, or empty if the bytes are malformed
     */
    public static Optional<RolloutRecord> decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return Optional.of(new RolloutRecord(
                    unpacker.unpackString(),
                    unpacker.unpackLong(),
                    RolloutPhase.valueOf(unpacker.unpackString()),
                    unpacker.unpackDouble(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    unpackNames(unpacker),
                    unpackNames(unpacker)));
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static List<String> unpackNames(MessageUnpacker unpacker) throws IOException {
        List<String> names = new ArrayList<>();
        for (int count = unpacker.unpackArrayHeader(); count > 0; count--) {
            names.add(unpacker.unpackString());
        }
        return names;
    }
}
