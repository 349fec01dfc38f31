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

/** Periodically reconciles a backend server with its pool. Must be used by a single thread. */
final class ReconcileTask {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final String agentName;
  private final ActiveConfiguration configuration;
  private final BackendServerReconciler reconciler;
  private final MonotonicClock clock = MonotonicClock.system();
  private @Nullable Duration registeredAt;
  private boolean hadPredecessor;
  private boolean checksFencing;
  private @Nullable FencingLease lease;

  ReconcileTask(
      String agentName, ActiveConfiguration configuration, BackendServerReconciler reconciler) {
    this.agentName = agentName;
    this.configuration = configuration;
    this.reconciler = reconciler;
  }

  /** Records that the registration of the agent has succeeded. */
  void markRegistered(boolean hasPredecessor) {
    registeredAt = clock.elapsed();
    hadPredecessor = hasPredecessor;
  }

  /** Sends the missing orders if the agent is registered and its lease is valid. */
  void reconcile() {
    Optional<PoolSpec> pool =
        configuration.current().document().pools().stream()
            .filter(candidate -> candidate.memberNames().contains(agentName))
            .findFirst();
    Duration registration = registeredAt;
    if (pool.isEmpty() || registration == null) {
      return;
    }
    try {
      reconciler.reconcile(pool.get(), leaseFor(pool.get(), registration));
    } catch (WigeonstageException e) {
      logger.atWarning().atMostEvery(60, TimeUnit.SECONDS).log(
          "agent %s can't bring the models on its backend server in line with pool %s: %s",
          agentName, pool.get().name(), e.getMessage());
    }
  }

  private FencingLease leaseFor(PoolSpec pool, Duration registration) {
    FencingLease current = lease;
    if (current == null || checksFencing != pool.checksFencing()) {
      checksFencing = pool.checksFencing();
      current = new FencingLease(checksFencing);
      current.markRegistered(registration, hadPredecessor);
      lease = current;
    }
    return current;
  }
}
