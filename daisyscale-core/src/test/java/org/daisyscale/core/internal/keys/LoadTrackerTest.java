package org.daisyscale.core.internal.keys;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.daisyscale.core.keys.KeyLoad;
import org.daisyscale.core.serving.BackendServer;
import org.junit.jupiter.api.Test;

class LoadTrackerTest {
    private static final BackendServer JOINED = server("joined");
    private static final BackendServer OTHER = server("other");

    private final LoadTracker load = new LoadTracker();

    private static BackendServer server(String id) {
        return new BackendServer(id, 1, "stock", "10.0.0.1", 80, "dc1", 3, false, 0);
    }

    private void report(Map<String, Double> serviceMillisByServer) {
        load.add(new KeyLoad("stock", List.of(), serviceMillisByServer), 1);
    }

    @Test
    void shouldNotAssumeAServerIsFastAfterOneQuickReport() {
        report(Map.of("other", 150.0));

        report(Map.of("joined", 30.0));

        assertThat(load.capacity(JOINED)).isLessThan(load.capacity(OTHER) * 1.25);
    }

    @Test
    void shouldAssumeAServerIsFastAfterManyQuickReports() {
        report(Map.of("other", 150.0));

        for (int count = 0; count < 60; count++) {
            report(Map.of("joined", 50.0));
        }

        assertThat(load.capacity(JOINED)).isGreaterThan(load.capacity(OTHER) * 2);
    }
}
