package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.pool.port.SharedStore.Item;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a watch that ends because one of its items can't be applied. */
class PrefixWatchTest {
    private final Vertx vertx = Vertx.vertx();
    private final FakeSharedStore store = new FakeSharedStore();
    private final List<String> applied = new ArrayList<>();

    @AfterEach
    void closeVertx() {
        vertx.close().await();
    }

    private void put(String key, long revision) {
        store.items.put(key, new Item(key, new byte[] {1}, revision));
    }

    private PrefixWatch.Listener failingAt(String key) {
        return new PrefixWatch.Listener() {
            @Override
            public void onListed(List<Item> items) {
                items.forEach(this::onChanged);
            }

            @Override
            public void onChanged(Item item) {
                if (item.key().equals(key)) {
                    throw new IllegalStateException("can't be applied");
                }
                applied.add(item.key());
            }
        };
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void should_go_on_after_an_item_that_cannot_be_applied(boolean listed) {
        // given
        store.watchesWait = true;
        put("p/a", 1);
        if (listed) {
            put("p/odd", 2);
        } else {
            put("p/odd", 11);
            put("p/z", 12);
        }

        // when
        PrefixWatch watch =
                new PrefixWatch(vertx, new ManualClock(), store, "p/", 0, failingAt("p/odd"), answered -> {});
        if (listed) {
            watch.start();
        } else {
            watch.startAfter(10, 0);
        }

        // then the store has had the call of the watch that follows
        assertThat(watch.isListed()).isTrue();
        assertThat(applied).contains(listed ? "p/a" : "p/z");
        assertThat(store.watched).isTrue();
    }
}
