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

/**
 * Encodes the router's own items of the store as MessagePack. A key table contains each target incarnation once and
 * refers to it by index.
 */
public final class RecordCodec {

    private RecordCodec() {}

    /**
     * Encodes a member record.
     *
     * @param member the record
     * @return the encoded record
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
            throw new IllegalStateException("could not encode member record", e);
        }
    }

    /**
     * Decodes a member record.
     *
     * @param bytes the encoded record
     * @return the record, or empty if the bytes are malformed
     */
    public static Optional<MemberRecord> decodeMember(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return Optional.of(new MemberRecord(
                    unpacker.unpackString(),
                    unpacker.unpackString(),
                    unpacker.unpackString(),
                    unpacker.unpackString(),
                    // Records written by an earlier version of the router have no capacity.
                    unpacker.hasNext() ? unpacker.unpackDouble() : 0));
        } catch (IOException | MessagePackException e) {
            return Optional.empty();
        }
    }

    /**
     * Encodes leaders with their leases.
     *
     * @param leaders the leaders
     * @return the encoded leaders, without the revisions of their items
     */
    public static byte[] encodeLeaders(List<LeaderRecord> leaders) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(leaders.size());
            for (LeaderRecord leader : leaders) {
                byte[] member = encode(leader.member());
                packer.packBinaryHeader(member.length);
                packer.writePayload(member);
                packer.packLong(leader.leaseId());
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("could not encode leaders", e);
        }
    }

    /**
     * Decodes leaders with their leases.
     *
     * @param bytes the encoded leaders
     * @return the leaders, with revision 0, or empty if the bytes are malformed
     */
    public static Optional<List<LeaderRecord>> decodeLeaders(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            List<LeaderRecord> leaders = new ArrayList<>();
            for (int count = unpacker.unpackArrayHeader(); count > 0; count--) {
                Optional<MemberRecord> member = decodeMember(unpacker.readPayload(unpacker.unpackBinaryHeader()));
                if (member.isEmpty()) {
                    return Optional.empty();
                }
                leaders.add(new LeaderRecord(member.get(), unpacker.unpackLong(), 0));
            }
            return Optional.of(leaders);
        } catch (IOException | MessagePackException e) {
            return Optional.empty();
        }
    }

    /**
     * Encodes a key table that is written in era 0 of the store.
     *
     * @param table the table
     * @return the encoded table
     */
    public static byte[] encode(KeyTable table) {
        return encode(table, 0);
    }

    /**
     * Encodes a key table. The era is omitted if it is 0.
     *
     * @param table the table
     * @param era era of the store in which the table is written
     * @return the encoded table
     */
    public static byte[] encode(KeyTable table, long era) {
        Map<String, Integer> incarnations = new LinkedHashMap<>();
        for (KeyAssignment assignment : table.assignments()) {
            incarnations.putIfAbsent(assignment.holder(), incarnations.size());
            for (String incarnation : assignment.previousHolders()) {
                incarnations.putIfAbsent(incarnation, incarnations.size());
            }
        }
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(incarnations.size());
            for (String incarnation : incarnations.keySet()) {
                packer.packString(incarnation);
            }
            packer.packArrayHeader(table.assignments().size());
            for (KeyAssignment assignment : table.assignments()) {
                packer.packInt(assignment.from());
                packer.packInt(assignment.to());
                packer.packInt(incarnations.get(assignment.holder()));
                packer.packLong(assignment.epoch());
                packer.packArrayHeader(assignment.previousHolders().size());
                for (String incarnation : assignment.previousHolders()) {
                    packer.packInt(incarnations.get(incarnation));
                }
            }
            if (era > 0) {
                packer.packLong(era);
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("could not encode key table", e);
        }
    }

    /**
     * Decodes a key table.
     *
     * @param bytes the encoded table
     * @return the table, or empty if the bytes are malformed
     */
    public static Optional<KeyTable> decodeKeyTable(byte[] bytes) {
        return decodeWrittenTable(bytes).map(WrittenKeyTable::table);
    }

    /**
     * Decodes a key table and the era in which it was written.
     *
     * @param bytes the encoded table
     * @return the table, or empty if the bytes are malformed
     */
    public static Optional<WrittenKeyTable> decodeWrittenTable(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            List<String> incarnations = new ArrayList<>();
            for (int count = unpacker.unpackArrayHeader(); count > 0; count--) {
                incarnations.add(unpacker.unpackString());
            }
            List<KeyAssignment> assignments = new ArrayList<>();
            for (int count = unpacker.unpackArrayHeader(); count > 0; count--) {
                int from = unpacker.unpackInt();
                int to = unpacker.unpackInt();
                String holder = incarnations.get(unpacker.unpackInt());
                long epoch = unpacker.unpackLong();
                List<String> previous = new ArrayList<>();
                for (int previousCount = unpacker.unpackArrayHeader(); previousCount > 0; previousCount--) {
                    previous.add(incarnations.get(unpacker.unpackInt()));
                }
                assignments.add(new KeyAssignment(from, to, holder, epoch, previous));
            }
            long era = unpacker.hasNext() ? unpacker.unpackLong() : 0;
            return Optional.of(new WrittenKeyTable(new KeyTable(assignments), era));
        } catch (IOException | MessagePackException | IndexOutOfBoundsException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
