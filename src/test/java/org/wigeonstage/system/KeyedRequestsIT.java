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

/** Sends non-idempotent requests with keys through an entry that is killed. */
class KeyedRequestsIT {

  private static final int REQUESTS = 1000;
  private static final int CALLERS = 16;
  private static final int SERVICES = 3;

  @TempDir Path directory;
  private Fleet fleet;
  private final List<Endpoint> services = new ArrayList<>();
  private Fleet.EntryAddresses first;
  private Fleet.EntryAddresses second;

  @BeforeEach
  void startTwoEntries() throws IOException {
    fleet = new Fleet(directory);
    Endpoint platform = fleet.platform();
    List<String> agents = new ArrayList<>();
    for (int i = 1; i <= SERVICES; i++) {
      Endpoint service = fleet.service("service-" + i, 20);
      services.add(service);
      fleet.agent("agent-" + i, "service", Fleet.freePort(), service, platform);
      agents.add("agent-" + i);
    }
    first = fleet.entry("entry-1", platform, List.of());
    second = fleet.entry("entry-2", platform, List.of());
    fleet.configure(
        first,
        List.of(Fleet.pool("portal", "service", agents)),
        List.of(Map.of("path", "/services/portal/*", "nonIdempotent", true)));
    fleet.awaitAgents(first, SERVICES);
    fleet.awaitAgents(second, SERVICES);
  }

  @AfterEach
  void stop() throws IOException {
    fleet.close();
  }

  @Test
  void eachRunsAtMostOnceAndIsAnsweredThroughTheOtherEntry() throws Exception {
    ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
    List<Future<Boolean>> answers = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      String body = "confirmation-" + i;
      boolean killsEntry = i == REQUESTS / 2;
      answers.add(
          callers.submit(
              () -> {
                if (killsEntry) {
                  fleet.process("entry-1").destroyForcibly();
                }
                return confirm(body);
              }));
    }
    int answered = 0;
    for (Future<Boolean> answer : answers) {
      answered += answer.get() ? 1 : 0;
    }
    callers.shutdown();
    assertThat(maxRuns()).isEqualTo(1);
    assertThat(answered).isEqualTo(REQUESTS);
  }

  private boolean confirm(String body) {
    String key = RequestId.create(Instant.now()).value();
    try {
      return confirm(first, key, body);
    } catch (CallFailedException e) {
      return confirm(second, key, body);
    }
  }

  private boolean confirm(Fleet.EntryAddresses entry, String key, String body) {
    Map<String, String> headers =
        Map.of("Authorization", "Bearer " + Fleet.ACCOUNT_KEY, "Idempotency-Key", key);
    HttpResponse answer =
        fleet.call(entry.callers(), "POST", "/services/portal/confirm", body, headers);
    JsonNode json = Json.parse(answer.text());
    return answer.status() == 200 && json.path("echo").asText().equals(body);
  }

  private int maxRuns() {
    int max = 0;
    for (Endpoint service : services) {
      for (JsonNode count :
          Json.parse(fleet.call(service, "GET", "/standin/runs", "", Map.of()).text())) {
        max = Math.max(max, count.asInt());
      }
    }
    return max;
  }
}
