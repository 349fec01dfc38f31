package org.wigeonstage.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import org.wigeonstage.common.Json;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.config.ChangeRequest;
import org.wigeonstage.config.ChangeResult;
import org.wigeonstage.config.ConfigurationWriter;
import org.wigeonstage.demo.Deployment;
import org.wigeonstage.demo.DeploymentOptions;
import org.wigeonstage.demo.DeploymentPlan;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.store.HttpObjectStore;

/**
 * Measures how long it takes until an accepted change of the configuration is active in every
 * process.
 */
final class PropagationProbe {

  private static final int CHANGE_COUNT = 20;
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final long POLL_MILLIS = 5;
  private static final double NANOS_PER_SECOND = 1e9;

  private final MonotonicClock clock = MonotonicClock.system();

  /**
   * Submits several changes, one after the other, and returns the longest time in seconds. If a
   * change is not active everywhere within the time limit, its time is above the limit.
   */
  double measure(DeploymentPlan plan) throws IOException, InterruptedException {
    double longest = 0;
    try (Deployment deployment = Deployment.start(plan, DeploymentOptions.DEFAULTS);
        HttpClient client = HttpClient.start("operator", 1)) {
      HttpObjectStore store = new HttpObjectStore(client, deployment.platform().endpoint());
      ConfigurationWriter writer = new ConfigurationWriter(store, InstantSource.system());
      long base = deployment.entries().get(0).configuration().current().version();
      for (int i = 0; i < CHANGE_COUNT; i++) {
        ChangeResult result = writer.submit(change(plan, i, base));
        longest = Math.max(longest, awaitActiveEverywhere(deployment, result.version()));
        base = result.version();
      }
    }
    return longest;
  }

  private static ChangeRequest change(DeploymentPlan plan, int number, long base) {
    JsonNode document = Json.toTree(plan.toDocument());
    ((ObjectNode) document.at("/accounts/0")).put("requestsPerSecond", 1000 + number);
    return new ChangeRequest("probe-" + number, "bench", "", base, document);
  }

  private double awaitActiveEverywhere(Deployment deployment, long version)
      throws InterruptedException {
    Duration begin = clock.elapsed();
    while (!isActiveEverywhere(deployment, version)) {
      if (clock.elapsed().minus(begin).compareTo(TIMEOUT) > 0) {
        break;
      }
      Thread.sleep(POLL_MILLIS);
    }
    return clock.elapsed().minus(begin).toNanos() / NANOS_PER_SECOND;
  }

  private static boolean isActiveEverywhere(Deployment deployment, long version) {
    return deployment.entries().stream()
            .allMatch(entry -> entry.configuration().current().version() >= version)
        && deployment.agents().stream()
            .allMatch(agent -> agent.configuration().current().version() >= version);
  }
}
