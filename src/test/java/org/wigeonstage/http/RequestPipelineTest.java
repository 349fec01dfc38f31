package org.wigeonstage.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.wigeonstage.http.RequestPipeline.AddResult;

/** Tests connections that close while requests arrive. */
class RequestPipelineTest {

  private static final Duration START = Duration.ofSeconds(100);
  private static final Duration IDLE_LIMIT = Duration.ofSeconds(30);
  private static final Duration AFTER_IDLE_LIMIT = START.plus(IDLE_LIMIT).plusMillis(1);

  private final RequestPipeline<String> pipeline = new RequestPipeline<>(START);

  @Test
  void handlesPipelinedRequestsInOrderOfArrival() {
    assertThat(pipeline.add("a", 0)).isEqualTo(AddResult.HANDLE_NOW);
    assertThat(pipeline.add("b", 0)).isEqualTo(AddResult.QUEUED);
    assertThat(pipeline.completeCurrent(true, START)).isEqualTo("b");
    assertThat(pipeline.completeCurrent(true, START)).isNull();
    assertThat(pipeline.closeIfDrained()).isFalse();
  }

  /**
   * Guards against responses that are lost when their connection is closed: a request that arrived
   * after the decision to close an idle connection, but before the close, was passed on to the
   * handler.
   */
  @Test
  void rejectsRequestsAfterTheConnectionWasFoundIdle() {
    assertThat(pipeline.drainIfIdle(AFTER_IDLE_LIMIT, IDLE_LIMIT)).isTrue();
    assertThat(pipeline.add("a", 0)).isEqualTo(AddResult.NOT_ACCEPTED);
    assertThat(pipeline.closeIfDrained()).isTrue();
  }

  @Test
  void isNotIdleWhileARequestIsHandledOrRead() {
    pipeline.add("a", 0);
    assertThat(pipeline.drainIfIdle(AFTER_IDLE_LIMIT, IDLE_LIMIT)).isFalse();
    pipeline.completeCurrent(true, START);
    pipeline.recordRead(AFTER_IDLE_LIMIT);
    assertThat(pipeline.drainIfIdle(AFTER_IDLE_LIMIT.plus(IDLE_LIMIT), IDLE_LIMIT)).isFalse();
    assertThat(pipeline.drainIfIdle(AFTER_IDLE_LIMIT.plus(IDLE_LIMIT).plusMillis(1), IDLE_LIMIT))
        .isTrue();
  }

  @Test
  void closesOnceAfterTheRequestsAcceptedBeforeDraining() {
    pipeline.add("a", 0);
    pipeline.add("b", 0);
    pipeline.drain();
    assertThat(pipeline.add("c", 0)).isEqualTo(AddResult.NOT_ACCEPTED);
    assertThat(pipeline.isCurrentLast()).isFalse();
    assertThat(pipeline.completeCurrent(true, START)).isEqualTo("b");
    assertThat(pipeline.isCurrentLast()).isTrue();
    assertThat(pipeline.closeIfDrained()).isFalse();
    assertThat(pipeline.completeCurrent(true, START)).isNull();
    assertThat(pipeline.closeIfDrained()).isTrue();
    assertThat(pipeline.closeIfDrained()).isFalse();
  }

  @Test
  void closesAfterAResponseThatAnnouncesTheClose() {
    pipeline.add("a", 0);
    pipeline.add("b", 0);
    assertThat(pipeline.completeCurrent(false, START)).isNull();
    assertThat(pipeline.add("c", 0)).isEqualTo(AddResult.NOT_ACCEPTED);
    assertThat(pipeline.closeIfDrained()).isTrue();
  }

  @Test
  void limitsTheNumberOfQueuedRequests() {
    pipeline.add("current", 0);
    for (int i = 1; i < 32; i++) {
      assertThat(pipeline.add("queued" + i, 10)).isEqualTo(AddResult.QUEUED);
    }
    assertThat(pipeline.add("last", 10)).isEqualTo(AddResult.QUEUED_LAST);
    assertThat(pipeline.add("rejected", 10)).isEqualTo(AddResult.NOT_ACCEPTED);
    assertThat(pipeline.unansweredCount()).isEqualTo(33);
  }

  @Test
  void limitsTheBytesOfQueuedRequests() {
    pipeline.add("current", 0);
    assertThat(pipeline.add("large", 1024 * 1024)).isEqualTo(AddResult.QUEUED_LAST);
    assertThat(pipeline.add("rejected", 0)).isEqualTo(AddResult.NOT_ACCEPTED);
  }

  @Test
  void defersContinueUntilTheCurrentRequestIsComplete() {
    pipeline.add("a", 0);
    assertThat(pipeline.requestContinue()).isFalse();
    assertThat(pipeline.takeDeferredContinue()).isFalse();
    pipeline.completeCurrent(true, START);
    assertThat(pipeline.takeDeferredContinue()).isTrue();
    assertThat(pipeline.takeDeferredContinue()).isFalse();
  }

  @Test
  void allowsContinueAtOnceWithoutACurrentRequest() {
    assertThat(pipeline.requestContinue()).isTrue();
    assertThat(pipeline.takeDeferredContinue()).isFalse();
  }
}
