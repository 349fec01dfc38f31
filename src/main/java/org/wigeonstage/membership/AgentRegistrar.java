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
 * Registers an agent in the platform's object API, once, trying again while the platform is down.
 *
 * <p>A registration never replaces one with a higher incarnation. An agent that finds such a
 * registration has been replaced, and its successor owns the backend server.
 */
public final class AgentRegistrar {

  /** Learns what the registration shows of other incarnations. */
  public interface Listener {

    /** Notes that a later incarnation owns the backend server. */
    void replaced();

    /**
     * Notes that the registration has taken effect.
     *
     * @param isFirst whether there was no earlier incarnation
     */
    void registered(boolean isFirst);
  }

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long RETRY_MILLIS = 1000;

  private final ObjectStore store;
  private final AgentRegistration registration;
  private final ScheduledExecutorService executor;
  private final Listener listener;
  private volatile boolean registered;

  /**
   * Creates a registrar.
   *
   * @param store the platform's object API
   * @param registration what to register
   * @param executor runs the calls, which block
   * @param listener learns of other incarnations
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

  /** Begins to register. */
  public void start() {
    executor.execute(this::attempt);
  }

  /**
   * Tells whether the registration is in force.
   *
   * @return whether the platform has confirmed it
   */
  public boolean isRegistered() {
    return registered;
  }

  private void attempt() {
    try {
      registerOnce();
    } catch (StoreException e) {
      executor.schedule(this::attempt, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void registerOnce() {
    Optional<StoredObject> existing = store.get(AgentRegistration.KIND, registration.name());
    long stored = existing.map(AgentRegistrar::incarnationOf).orElse(0L);
    if (stored > registration.incarnation()) {
      logger.atWarning().log("replaced by incarnation %s", stored);
      listener.replaced();
      return;
    }
    if (stored < registration.incarnation()) {
      write(existing.map(StoredObject::version).orElse(0L));
    }
    listener.registered(existing.isEmpty());
    registered = true;
    logger.atInfo().log("registered with incarnation %s", registration.incarnation());
  }

  private static long incarnationOf(StoredObject object) {
    return Json.read(object.value(), AgentRegistration.class).incarnation();
  }

  private void write(long version) {
    try {
      store.put(AgentRegistration.KIND, registration.name(), version, Json.write(registration));
    } catch (StoreException e) {
      if (e.code() == ErrorCode.VERSION_CONFLICT) {
        logger.atInfo().log("registration changed meanwhile, reading it again");
      }
      throw e;
    }
  }
}
