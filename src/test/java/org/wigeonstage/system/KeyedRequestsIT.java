package org.wigeonstage.system;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wigeonstage.common.Json;
import org.wigeonstage.http.CallFailedException;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpResponse;
import org.wigeonstage.request.RequestId;

/**
 * Sends non-idempotent requests with idempotency keys through an entry that is killed, and retries
 * the failed ones through another entry.
 */
class KeyedRequestsIT {

  private static final int REQUESTS = 1000;
  private static final int CALLERS = 16;
  private static final int SERVICES = 3;

  @TempDir Path directory;
  private ProcessFleet fleet;
  private final List<Endpoint> services = new ArrayList<>();
  private ProcessFleet.EntryAddresses firstEntry;
  private ProcessFleet.EntryAddresses secondEntry;

  @BeforeEach
  void startTwoEntries() throws IOException {
    fleet = new ProcessFleet(directory);
    Endpoint platform = fleet.startPlatform();
    List<String> agents = new ArrayList<>();
    for (int i = 1; i <= SERVICES; i++) {
      Endpoint service = fleet.startService("service-" + i, 20);
      services.add(service);
      fleet.startAgent("agent-" + i, "service", FreeEndpoints.next(), service, platform);
      agents.add("agent-" + i);
    }
    firstEntry = fleet.startEntry("entry-1", platform, List.of());
    secondEntry = fleet.startEntry("entry-2", platform, List.of());
    fleet.submitConfiguration(
        firstEntry,
        List.of(ProcessFleet.pool("portal", "service", agents)),
        List.of(Map.of("path", "/services/portal/*", "nonIdempotent", true)));
    fleet.awaitAvailableAgents(firstEntry, SERVICES);
    fleet.awaitAvailableAgents(secondEntry, SERVICES);
  }

  @AfterEach
  void stop() throws IOException {
    fleet.close();
  }

  @Test
  void requestsRunOnceAndSucceedThroughTheOtherEntryAfterAKill() throws Exception {
    ExecutorService callerThreads = Executors.newFixedThreadPool(CALLERS);
    List<Future<Boolean>> results = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      String body = "confirmation-" + i;
      boolean killsEntry = i == REQUESTS / 2;
      results.add(
          callerThreads.submit(
              () -> {
                if (killsEntry) {
                  fleet.process("entry-1").destroyForcibly();
                }
                return confirm(body);
              }));
    }
    int confirmed = 0;
    for (Future<Boolean> result : results) {
      confirmed += result.get() ? 1 : 0;
    }
    callerThreads.shutdown();
    assertThat(maxRunsPerRequest()).isEqualTo(1);
    assertThat(confirmed).isEqualTo(REQUESTS);
  }

  private boolean confirm(String body) {
    String key = RequestId.create(Instant.now()).value();
    try {
      return confirm(firstEntry, key, body);
    } catch (CallFailedException e) {
      return confirm(secondEntry, key, body);
    }
  }

  private boolean confirm(ProcessFleet.EntryAddresses entry, String key, String body) {
    Map<String, String> fields =
        Map.of("Authorization", "Bearer " + ProcessFleet.ACCOUNT_KEY, "Idempotency-Key", key);
    HttpResponse response =
        fleet.call(entry.callers(), "POST", "/services/portal/confirm", body, fields);
    JsonNode json = Json.parse(response.text());
    return response.status() == 200 && json.path("echo").asText().equals(body);
  }

  private int maxRunsPerRequest() {
    int maxRuns = 0;
    for (Endpoint service : services) {
      for (JsonNode count :
          Json.parse(fleet.call(service, "GET", "/standin/runs", "", Map.of()).text())) {
        maxRuns = Math.max(maxRuns, count.asInt());
      }
    }
    return maxRuns;
  }
}
