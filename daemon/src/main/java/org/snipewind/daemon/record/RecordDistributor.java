package org.snipewind.daemon.record;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import org.snipewind.coordination.fleet.Member;
import org.snipewind.protocol.PeerConnections;
import org.snipewind.protocol.PeerMessage;
import org.snipewind.protocol.RecordAnswer;
import org.snipewind.protocol.RecordFetch;
import org.snipewind.protocol.RecordPush;
import org.snipewind.protocol.RecordVersions;

/** Sends records to peers and fetches newer versions from them. */
public final class RecordDistributor {

    private static final long FETCH_TIMEOUT_MILLIS = 1_000;

    private final String memberId;
    private final RecordCache records;
    private final PeerConnections peers;
    private final Set<String> fetchesInProgress = ConcurrentHashMap.newKeySet();

    /**
     * Creates a distributor.
     *
     * @param memberId id of this daemon
     * @param records records of this daemon
     * @param peers connections to peers
     */
    public RecordDistributor(String memberId, RecordCache records, PeerConnections peers) {
        this.memberId = memberId;
        this.records = records;
        this.peers = peers;
    }

    /**
     * Sends the newest known version of a record to selected members.
     *
     * @param name store key of the record
     * @param receivers selects the members
     */
    public void push(String name, Predicate<Member> receivers) {
        Optional<byte[]> content = records.content(name);
        if (content.isEmpty()) {
            return;
        }
        RecordPush push = new RecordPush(name, records.version(name), content.get());
        for (Member member : records.fleet().members().values()) {
            if (!member.id().equals(memberId) && receivers.test(member)) {
                peers.send(member.peerAddress(), push);
            }
        }
    }

    /**
     * Fetches the records of which a peer has a newer version.
     *
     * @param address address of the peer
     * @param versions versions by record name that the peer has
     */
    public void fetchNewer(String address, RecordVersions versions) {
        for (Map.Entry<String, Long> entry : versions.byName().entrySet()) {
            if (entry.getValue() > records.version(entry.getKey())) {
                fetch(address, entry.getKey());
            }
        }
    }

    /**
     * Fetches one record from a peer, unless a fetch of this record is already in progress.
     *
     * @param address address of the peer
     * @param name store key of the record
     */
    public void fetch(String address, String name) {
        if (!fetchesInProgress.add(name)) {
            return;
        }
        peers.call(address, new RecordFetch(name), FETCH_TIMEOUT_MILLIS).whenComplete((response, failure) -> {
            fetchesInProgress.remove(name);
            if (response instanceof RecordAnswer found && found.version() > 0) {
                records.putIfNewer(name, found.content());
            }
        });
    }

    /**
     * Handles a peer's request for a record.
     *
     * @param fetch the request
     * @return the newest known version, with version 0 and no content if the record is not known
     */
    public PeerMessage handleFetch(RecordFetch fetch) {
        return records.content(fetch.name())
                .map(content -> new RecordAnswer(fetch.name(), records.version(fetch.name()), content))
                .orElseGet(() -> new RecordAnswer(fetch.name(), 0, new byte[0]));
    }
}
