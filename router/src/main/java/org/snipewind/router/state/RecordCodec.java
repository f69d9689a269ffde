package org.snipewind.router.state;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.keyspace.KeyTable;

/** The router's own items in the store as MessagePack; lives of targets are written once and referred to by number. */
public final class RecordCodec {

    private RecordCodec() {}

    /**
     * Encodes an instance.
     *
     * @param member the instance
     * @return bytes for the store
     */
    public static byte[] encode(MemberRecord member) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packString(member.name());
            packer.packString(member.bootId());
            packer.packString(member.peerAddress());
            packer.packString(member.dataCentre());
            packer.packDouble(member.capacity());
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("a member record can't be encoded", e);
        }
    }

    /**
     * Decodes an instance.
     *
     * @param bytes bytes from the store
     * @return the instance, or empty if the bytes are malformed
     */
    public static Optional<MemberRecord> decodeMember(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return Optional.of(new MemberRecord(
                    unpacker.unpackString(),
                    unpacker.unpackString(),
                    unpacker.unpackString(),
                    unpacker.unpackString(),
                    // Records of an earlier version end here.
                    unpacker.hasNext() ? unpacker.unpackDouble() : 0));
        } catch (IOException | MessagePackException e) {
            return Optional.empty();
        }
    }

    /**
     * Encodes a table of holders.
     *
     * @param table the table
     * @return bytes for the store
     */
    public static byte[] encode(KeyTable table) {
        Map<String, Integer> lives = new LinkedHashMap<>();
        for (KeyAssignment each : table.assignments()) {
            lives.putIfAbsent(each.holder(), lives.size());
            for (String life : each.previousHolders()) {
                lives.putIfAbsent(life, lives.size());
            }
        }
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(lives.size());
            for (String life : lives.keySet()) {
                packer.packString(life);
            }
            packer.packArrayHeader(table.assignments().size());
            for (KeyAssignment each : table.assignments()) {
                packer.packInt(each.from());
                packer.packInt(each.to());
                packer.packInt(lives.get(each.holder()));
                packer.packLong(each.epoch());
                packer.packArrayHeader(each.previousHolders().size());
                for (String life : each.previousHolders()) {
                    packer.packInt(lives.get(life));
                }
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("a table of holders can't be encoded", e);
        }
    }

    /**
     * Decodes a table of holders.
     *
     * @param bytes bytes from the store
     * @return the table, or empty if the bytes are malformed
     */
    public static Optional<KeyTable> decodeKeyTable(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            List<String> lives = new ArrayList<>();
            for (int rest = unpacker.unpackArrayHeader(); rest > 0; rest--) {
                lives.add(unpacker.unpackString());
            }
            List<KeyAssignment> assignments = new ArrayList<>();
            for (int rest = unpacker.unpackArrayHeader(); rest > 0; rest--) {
                int from = unpacker.unpackInt();
                int to = unpacker.unpackInt();
                String holder = lives.get(unpacker.unpackInt());
                long epoch = unpacker.unpackLong();
                List<String> previous = new ArrayList<>();
                for (int lost = unpacker.unpackArrayHeader(); lost > 0; lost--) {
                    previous.add(lives.get(unpacker.unpackInt()));
                }
                assignments.add(new KeyAssignment(from, to, holder, epoch, previous));
            }
            return Optional.of(new KeyTable(assignments));
        } catch (IOException | MessagePackException | IndexOutOfBoundsException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
