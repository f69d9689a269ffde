package org.snipewind.router.peer;

import org.snipewind.protocol.MirrorAnswer;
import org.snipewind.router.port.StoreItem;

/** Converts between items of the store and items of peer messages. */
final class MirrorItemConverter {

    private MirrorItemConverter() {}

    static MirrorAnswer.Item toMessage(StoreItem item) {
        return new MirrorAnswer.Item(item.key(), item.revision(), item.lease(), item.value());
    }

    static StoreItem toStoreItem(MirrorAnswer.Item item) {
        return new StoreItem(item.key(), item.value(), item.revision(), item.lease());
    }
}
