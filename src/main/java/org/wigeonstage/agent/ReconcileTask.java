package org.wigeonstage.agent;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.config.ActiveConfiguration;
import org.wigeonstage.config.PoolSpec;
import org.wigeonstage.orders.BackendServerReconciler;
import org.wigeonstage.orders.FencingLease;

/** Follows the pool's definition and has its orders given. Belongs to one thread. */
final class ReconcileTask {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final String agent;
  private final ActiveConfiguration configuration;
  private final BackendServerReconciler carrier;
  private final MonotonicClock clock = MonotonicClock.system();
  private @Nullable Duration registeredAt;
  private boolean hadPredecessor;
  private boolean checksFencing;
  private @Nullable FencingLease hold;

  ReconcileTask(String agent, ActiveConfiguration configuration, BackendServerReconciler carrier) {
    this.agent = agent;
    this.configuration = configuration;
    this.carrier = carrier;
  }

  /** Notes that the agent's registration has taken effect. */
  void registered(boolean predecessor) {
    registeredAt = clock.elapsed();
    hadPredecessor = predecessor;
  }

  /** Gives the orders that are missing, as far as they may be given now. */
  void reconcile() {
    Optional<PoolSpec> pool =
        configuration.current().document().pools().stream()
            .filter(candidate -> candidate.memberNames().contains(agent))
            .findFirst();
    Duration registration = registeredAt;
    if (pool.isEmpty() || registration == null) {
      return;
    }
    try {
      carrier.reconcile(pool.get(), holdFor(pool.get(), registration));
    } catch (WigeonstageException e) {
      logger.atWarning().atMostEvery(60, TimeUnit.SECONDS).log("orders wait: %s", e.getMessage());
    }
  }

  private FencingLease holdFor(PoolSpec pool, Duration registration) {
    FencingLease current = hold;
    if (current == null || checksFencing != pool.checksFencing()) {
      checksFencing = pool.checksFencing();
      current = new FencingLease(checksFencing);
      current.registered(registration, hadPredecessor);
      hold = current;
    }
    return current;
  }
}
