package org.wigeonstage.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wigeonstage.common.ControlExecutors;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.Json;
import org.wigeonstage.common.Polling;
import org.wigeonstage.store.ObjectStoreDouble;
import org.wigeonstage.store.StoreException;
import org.wigeonstage.store.StoredObject;

class AgentRegistrarTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final AgentRegistration REGISTRATION =
      new AgentRegistration("agent-1", "127.0.0.1:1", "fd-a", 7);

  private final ScheduledExecutorService executor =
      ControlExecutors.newSingleThreadExecutor("registrar");
  private final ScriptedStore store = new ScriptedStore();
  private final AgentRegistrar registrar =
      new AgentRegistrar(store, REGISTRATION, executor, new IgnoringListener());

  @AfterEach
  void stop() {
    executor.shutdownNow();
  }

  private void assertRegisters() throws InterruptedException {
    registrar.start();
    assertThat(Polling.await(registrar::isRegistered, TIMEOUT)).isTrue();
    assertThat(store.failures).isEmpty();
  }

  @Test
  void registersOnceTheStoreIsAvailable() throws InterruptedException {
    store.failures.add(new StoreException(ErrorCode.STORE_UNAVAILABLE, "the store is down", null));
    assertRegisters();
  }

  /** Reading a truncated document throws an exception that is no {@link StoreException}. */
  @Test
  void registersOnceTheResponseOfTheStoreCanBeRead() throws InterruptedException {
    store.failures.add(parseFailure());
    assertRegisters();
  }

  private static RuntimeException parseFailure() {
    try {
      throw new AssertionError(Json.parse("{\"name\":"));
    } catch (RuntimeException e) {
      return e;
    }
  }

  private static final class IgnoringListener implements AgentRegistrar.Listener {

    @Override
    public void replaced() {}

    @Override
    public void registered(boolean isFirst) {}
  }

  /** A store without objects, whose first calls fail. */
  private static final class ScriptedStore extends ObjectStoreDouble {

    private final Deque<RuntimeException> failures = new ArrayDeque<>();

    @Override
    public Optional<StoredObject> get(String kind, String name) {
      RuntimeException failure = failures.pollFirst();
      if (failure != null) {
        throw failure;
      }
      return Optional.empty();
    }

    @Override
    public long put(String kind, String name, long expectedVersion, String value) {
      return 1;
    }
  }
}
