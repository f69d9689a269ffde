package org.snipewind.router.state;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.snipewind.router.port.StoreChanges;
import org.snipewind.router.port.StoreItem;

/**
 * Guards against instances that fetch the whole cache of a peer for a few changes, and against removed items that come
 * back with an old copy.
 */
final class CachedItemsTest {

    private static final StoreCacheListener NO_LISTENER = new StoreCacheListener() {
        @Override
        public void itemChanged(StoreItem item) {}

        @Override
        public void itemRemoved(String key) {}

        @Override
        public void changesApplied() {}
    };

    private final CachedItems items = new CachedItems(NO_LISTENER);

    /** A store with a few keys that are written and removed, and its history. */
    private static final class ReferenceStore {
        private final Random random;
        private final TreeMap<String, StoreItem> items = new TreeMap<>();
        private final List<StoreChanges.Change> history = new ArrayList<>();

        ReferenceStore(Random random) {
            this.random = random;
        }

        long revision() {
            return history.size();
        }

        void changeOne() {
            String key = "k" + random.nextInt(6);
            long revision = revision() + 1;
            boolean removed = items.containsKey(key) && random.nextInt(3) == 0;
            StoreItem item = new StoreItem(key, new byte[] {(byte) revision}, revision, 0);
            if (removed) {
                items.remove(key);
            } else {
                items.put(key, item);
            }
            history.add(new StoreChanges.Change(item, removed));
        }

        StoreChanges changesSince(long revision) {
            return new StoreChanges(List.copyOf(history.subList((int) revision, history.size())), revision());
        }
    }

    /** Two instances follow the store, one of them with gaps that it fills from the other. */
    @Property(tries = 300, seed = "22")
    void anInstanceThatFillsItsGapsFromAPeerHasTheItemsOfTheStore(@ForAll long seed) {
        Random random = new Random(seed);
        ReferenceStore store = new ReferenceStore(random);
        CachedItems peer = new CachedItems(NO_LISTENER);
        CachedItems asker = new CachedItems(NO_LISTENER);
        for (int step = 0; step < 60; step++) {
            store.changeOne();
            switch (random.nextInt(6)) {
                case 0 -> peer.replaceAll(List.copyOf(store.items.values()), store.revision());
                case 1, 2 -> peer.applyChanges(store.changesSince(peer.revision()));
                case 3 -> asker.applyChanges(store.changesSince(asker.revision()));
                case 4 -> copyFromPeer(peer, asker);
                default ->
                    peer.applyWrite(
                            store.items.values().stream().findFirst().orElse(new StoreItem("k0", new byte[0], 0, 0)));
            }
        }
        peer.applyChanges(store.changesSince(peer.revision()));
        copyFromPeer(peer, asker);
        assertThat(revisions(asker)).isEqualTo(revisions(peer));
        assertThat(revisions(peer))
                .isEqualTo(
                        store.items.values().stream().collect(Collectors.toMap(StoreItem::key, StoreItem::revision)));
    }

    private static void copyFromPeer(CachedItems peer, CachedItems asker) {
        if (peer.revision() <= asker.revision()) {
            return;
        }
        Optional<StoreChanges> changes = peer.changesSince(asker.revision());
        if (changes.isPresent()) {
            asker.applyChanges(changes.get());
        } else {
            asker.replaceAll(peer.snapshot(), peer.revision());
        }
    }

    private static Map<String, Long> revisions(CachedItems cached) {
        return cached.snapshot().stream().collect(Collectors.toMap(StoreItem::key, StoreItem::revision));
    }

    @Test
    void aRemovedItemDoesNotComeBackWithAnOldCopyAfterTheItemsWentBack() {
        items.replaceAll(List.of(item("old", 1)), 50);
        items.goBackTo(List.of(item("kept", 2)), 10);
        items.applyChanges(new StoreChanges(List.of(new StoreChanges.Change(item("old", 1), false)), 10));
        assertThat(items.snapshot().stream().map(StoreItem::key)).containsExactly("kept");
    }

    @Test
    void aPeerThatIsAFewChangesBehindGetsOnlyThese() {
        List<StoreItem> all = new ArrayList<>();
        for (int each = 1; each <= 1_000; each++) {
            all.add(item("k" + each, each));
        }
        items.replaceAll(all, 1_000);
        items.applyChanges(new StoreChanges(List.of(new StoreChanges.Change(item("k7", 1_001), false)), 1_001));
        assertThat(items.changesSince(1_000).orElseThrow().changes()).hasSize(1);
        assertThat(items.changesSince(999)).isEmpty();
    }

    @Test
    void aRemovedItemDoesNotComeBackWithAnOldCopyAfterItsRemovalWasForgotten() {
        items.replaceAll(List.of(item("old", 1)), 1);
        items.applyChanges(new StoreChanges(List.of(new StoreChanges.Change(item("old", 2), true)), 2));
        for (long revision = 3; revision < 20_000; revision += 2) {
            String key = "k" + revision;
            items.applyChanges(new StoreChanges(
                    List.of(
                            new StoreChanges.Change(item(key, revision), false),
                            new StoreChanges.Change(item(key, revision + 1), true)),
                    revision + 1));
        }
        assertThat(items.changesSince(2)).isEmpty();
        items.applyWrite(item("old", 1));
        assertThat(items.item("old")).isEmpty();
    }

    private static StoreItem item(String key, long revision) {
        return new StoreItem(key, new byte[0], revision, 0);
    }
}
