package org.snipewind.router.state;

import org.snipewind.router.log.GuardedTask;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.port.StoreItem;

/** Keeps a failure of a listener for one item from affecting the other items of the same answer. */
final class GuardedListener implements StoreCacheListener {

    private final StoreCacheListener listener;
    private final RouterEventLog log;

    GuardedListener(StoreCacheListener listener, RouterEventLog log) {
        this.listener = listener;
        this.log = log;
    }

    @Override
    public void itemChanged(StoreItem item) {
        new GuardedTask(
                        log,
                        "apply item " + item.key() + " revision=" + item.revision(),
                        () -> listener.itemChanged(item))
                .run();
    }

    @Override
    public void itemRemoved(String key) {
        new GuardedTask(log, "remove item " + key, () -> listener.itemRemoved(key)).run();
    }

    @Override
    public void itemLost(String key, long position) {
        new GuardedTask(log, "lose item " + key, () -> listener.itemLost(key, position)).run();
    }

    @Override
    public void changesApplied() {
        new GuardedTask(log, "draw the fleet view", listener::changesApplied).run();
    }
}
