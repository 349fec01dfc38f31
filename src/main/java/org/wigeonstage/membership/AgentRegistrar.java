package org.wigeonstage.membership;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.Json;
import org.wigeonstage.store.ObjectStore;
import org.wigeonstage.store.StoreException;
import org.wigeonstage.store.StoredObject;

/**
 * Registers an agent in the object store of the platform, and retries every second while the store
 * is unavailable or sends what can't be read.
 *
 * <p>A registration never replaces one with a higher incarnation. An agent that finds such a
 * registration has been replaced by a successor, which owns the backend server.
 */
public final class AgentRegistrar {

  /** Receives the result of the registration. */
  public interface Listener {

    /** Called when a later incarnation has registered, which owns the backend server. */
    void replaced();

    /**
     * Called when the registration has succeeded.
     *
     * @param isFirst whether no earlier incarnation was registered
     */
    void registered(boolean isFirst);
  }

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long RETRY_DELAY_MILLIS = 1000;

  /** The interval in seconds between two log lines about failures. */
  private static final int LOG_INTERVAL_SECONDS = 10;

  private final ObjectStore store;
  private final AgentRegistration registration;
  private final ScheduledExecutorService executor;
  private final Listener listener;
  private volatile boolean registered;

  /**
   * Creates a registrar.
   *
   * @param store the object store of the platform
   * @param registration the registration of the agent
   * @param executor the executor for the blocking calls to the store
   * @param listener receives the result
   */
  public AgentRegistrar(
      ObjectStore store,
      AgentRegistration registration,
      ScheduledExecutorService executor,
      Listener listener) {
    this.store = store;
    this.registration = registration;
    this.executor = executor;
    this.listener = listener;
  }

  /** Starts to register the agent. */
  public void start() {
    executor.execute(this::registerOrRetry);
  }

  /**
   * Returns whether the agent is registered.
   *
   * @return whether the store has confirmed the registration
   */
  public boolean isRegistered() {
    return registered;
  }

  private void registerOrRetry() {
    try {
      tryRegister();
    } catch (StoreException e) {
      retryLater();
    } catch (RuntimeException e) {
      logger.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).withCause(e).log(
          "agent %s could not register; it tries again in %s ms",
          registration.name(), RETRY_DELAY_MILLIS);
      retryLater();
    }
  }

  private void retryLater() {
    executor.schedule(this::registerOrRetry, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void tryRegister() {
    Optional<StoredObject> existing = store.get(AgentRegistration.KIND, registration.name());
    long storedIncarnation = existing.map(AgentRegistrar::incarnationOf).orElse(0L);
    if (storedIncarnation > registration.incarnation()) {
      logger.atWarning().log(
          "agent %s does not register with incarnation %s: a later incarnation %s is registered",
          registration.name(), registration.incarnation(), storedIncarnation);
      listener.replaced();
      return;
    }
    if (storedIncarnation < registration.incarnation()) {
      write(existing.map(StoredObject::version).orElse(0L));
    }
    listener.registered(existing.isEmpty());
    registered = true;
    logger.atInfo().log(
        "agent %s registered with incarnation %s", registration.name(), registration.incarnation());
  }

  private static long incarnationOf(StoredObject object) {
    return Json.read(object.value(), AgentRegistration.class).incarnation();
  }

  private void write(long version) {
    try {
      store.put(AgentRegistration.KIND, registration.name(), version, Json.write(registration));
    } catch (StoreException e) {
      if (e.code() == ErrorCode.VERSION_CONFLICT) {
        logger.atInfo().log(
            "registration of agent %s changed concurrently; reading it again in %s ms",
            registration.name(), RETRY_DELAY_MILLIS);
      }
      throw e;
    }
  }
}
