package org.wigeonstage.membership;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.Counter;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.wigeonstage.common.Polling;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.standin.PlatformStandin;
import org.wigeonstage.store.HttpObjectStore;

class StoreWatchTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  /** The listener of the entry decodes what other writers have stored. */
  @Test
  void continuesAfterTheListenerThrowsAnError() throws IOException, InterruptedException {
    AtomicInteger calls = new AtomicInteger();
    Counter failures = new Counter();
    try (PlatformStandin platform = PlatformStandin.start(new Endpoint("127.0.0.1", 0));
        HttpClient client = HttpClient.start("test", 1)) {
      HttpObjectStore store = new HttpObjectStore(client, platform.endpoint());
      Thread thread =
          new StoreWatch(
                  store,
                  "things",
                  list -> {
                    if (calls.getAndIncrement() == 0) {
                      throw new StackOverflowError("test");
                    }
                  },
                  failures)
              .start();
      assertThat(Polling.await(() -> calls.get() >= 2, TIMEOUT)).isTrue();
      assertThat(failures.getCount()).isEqualTo(1);
      thread.interrupt();
      thread.join(TIMEOUT.toMillis());
      assertThat(thread.isAlive()).isFalse();
    }
  }
}
