package org.wigeonstage.load;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.request.HttpCall;
import org.wigeonstage.request.RequestId;

/**
 * Sends the requests of an experiment when they are due, however slowly responses arrive (open
 * loop).
 */
public final class LoadGenerator {

  /** How long to wait for open requests after the last one was sent. */
  private static final Duration RESPONSE_TIMEOUT = Duration.ofMinutes(3);

  private static final Duration PROGRESS_INTERVAL = Duration.ofSeconds(1);

  private final HttpClient client;
  private final MonotonicClock clock;
  private final InstantSource wallClock;
  private final Consumer<String> progress;

  /**
   * Creates a generator.
   *
   * @param client sends the requests
   * @param clock the clock for due times
   * @param wallClock the time from which idempotency keys are created
   * @param progress receives a line of text about once a second
   */
  public LoadGenerator(
      HttpClient client, MonotonicClock clock, InstantSource wallClock, Consumer<String> progress) {
    this.client = client;
    this.clock = clock;
    this.wallClock = wallClock;
    this.progress = progress;
  }

  /**
   * Sends the requests of an experiment and waits for the responses, up to a time limit after the
   * last request.
   *
   * @param experiment the experiment
   * @param entries where to send the requests, in turn
   * @return what the callers observed
   * @throws InterruptedException if the thread is interrupted
   */
  public LoadResult run(Experiment experiment, List<Endpoint> entries) throws InterruptedException {
    List<PlannedRequest> requests = new ArrivalPlanner(experiment).plan();
    Queue<RequestRecord> records = new ConcurrentLinkedQueue<>();
    CountDownLatch openRequests = new CountDownLatch(requests.size());
    Balancer balancer = new Balancer(entries);
    Duration start = clock.elapsed();
    Duration nextProgress = PROGRESS_INTERVAL;
    for (int i = 0; i < requests.size(); i++) {
      PlannedRequest request = requests.get(i);
      sleepUntil(start.plus(request.sendOffset()));
      send(
          request,
          start.plus(request.sendOffset()),
          balancer,
          record -> {
            records.add(record);
            openRequests.countDown();
          });
      if (request.sendOffset().compareTo(nextProgress) >= 0) {
        nextProgress = request.sendOffset().plus(PROGRESS_INTERVAL);
        progress.accept(progressLine(request.sendOffset(), i + 1, records.size()));
      }
    }
    boolean allEnded = openRequests.await(RESPONSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    return new LoadResult(
        experiment, requests, List.copyOf(records), allEnded ? 0 : openRequests.getCount());
  }

  private static String progressLine(Duration sendOffset, int sent, int ended) {
    return String.format("%4d s  sent %6d  ended %6d", sendOffset.toSeconds(), sent, ended);
  }

  private void sleepUntil(Duration time) throws InterruptedException {
    Duration remaining = time.minus(clock.elapsed());
    if (!remaining.isNegative()) {
      TimeUnit.NANOSECONDS.sleep(remaining.toNanos());
    }
  }

  private void send(
      PlannedRequest request, Duration dueAt, Balancer balancer, Consumer<RequestRecord> sink) {
    Map<String, String> fields = new HashMap<>();
    fields.put("Authorization", "Bearer " + request.requestClass().key());
    if (request.requestClass().keyed()) {
      fields.put("Idempotency-Key", RequestId.create(wallClock.instant()).value());
    }
    ResponseRecorder recorder = new ResponseRecorder(request, dueAt, clock, sink);
    submit(balancer, callOf(request), fields, recorder, balancer.size());
  }

  private void submit(
      Balancer balancer,
      HttpCall call,
      Map<String, String> fields,
      ResponseRecorder recorder,
      int remainingSubmissions) {
    ResubmittingListener resubmitting =
        new ResubmittingListener(
            recorder,
            remainingSubmissions > 1,
            () -> submit(balancer, call, fields, recorder, remainingSubmissions - 1));
    client.send(balancer.next(), call, fields, resubmitting);
  }

  private static HttpCall callOf(PlannedRequest request) {
    RequestClass requestClass = request.requestClass();
    if (!requestClass.model()) {
      byte[] body = request.prompt().getBytes(StandardCharsets.UTF_8);
      return new HttpCall("POST", requestClass.target(), "text/plain", body);
    }
    ObjectNode body =
        JsonNodeFactory.instance
            .objectNode()
            .put("model", requestClass.target())
            .put("max_tokens", request.outputTokens())
            .put("stream", requestClass.stream());
    body.putArray("messages").addObject().put("role", "user").put("content", request.prompt());
    return new HttpCall(
        "POST",
        "/v1/chat/completions",
        "application/json",
        body.toString().getBytes(StandardCharsets.UTF_8));
  }
}
