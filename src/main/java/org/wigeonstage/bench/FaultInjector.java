package org.wigeonstage.bench;

import com.google.common.flogger.FluentLogger;
import java.io.Closeable;
import java.io.IOException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.wigeonstage.common.ControlExecutors;
import org.wigeonstage.demo.Deployment;
import org.wigeonstage.standin.PlatformFaults;

/** Injects the faults of a scenario into a deployment when they are due. */
final class FaultInjector implements Closeable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Deployment deployment;
  private final ScheduledExecutorService executor =
      ControlExecutors.newSingleThreadExecutor("faults");

  FaultInjector(Deployment deployment, Scenario scenario) {
    this.deployment = deployment;
    for (Fault fault : scenario.faults()) {
      executor.schedule(() -> run(fault), fault.atSecond(), TimeUnit.SECONDS);
    }
  }

  private void run(Fault fault) {
    try {
      inject(fault);
    } catch (IOException e) {
      logger.atSevere().withCause(e).log(
          "failed to inject %s completely; the scenario continues", fault);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void inject(Fault fault) throws IOException, InterruptedException {
    if (fault instanceof Fault.SlowEngine slow) {
      deployment.engines().get(slow.engine()).slowdown(slow.factor());
    } else if (fault instanceof Fault.FailureDomainLoss loss) {
      deployment.stopFailureDomain(loss.failureDomain());
    } else if (fault instanceof Fault.RollingRestart) {
      deployment.restartAllInTurn();
    } else if (fault instanceof Fault.PlatformOutage) {
      deployment.platform().faults(new PlatformFaults(true, 0, false));
    }
  }

  @Override
  public void close() {
    executor.shutdown();
    try {
      executor.awaitTermination(1, TimeUnit.MINUTES);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
