package org.wigeonstage.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.wigeonstage.http.RequestSequence.Turn;

/** Connections that close for reasons of their own while requests come. */
class RequestSequenceTest {

  private static final Duration START = Duration.ofSeconds(100);
  private static final Duration LIMIT = Duration.ofSeconds(30);
  private static final Duration LATE = START.plus(LIMIT).plusMillis(1);

  private final RequestSequence<String> sequence = new RequestSequence<>(START);

  @Test
  void answersInTheOrderOfArrival() {
    assertThat(sequence.add("a", 0)).isEqualTo(Turn.NOW);
    assertThat(sequence.add("b", 0)).isEqualTo(Turn.LATER);
    assertThat(sequence.answered(true, START)).isEqualTo("b");
    assertThat(sequence.answered(true, START)).isNull();
    assertThat(sequence.closesNow()).isFalse();
  }

  /** LOST: a request that came between the decision to close and the closing was passed on. */
  @Test
  void takesNoRequestOnceItIsFoundIdle() {
    assertThat(sequence.finishIfIdle(LATE, LIMIT)).isTrue();
    assertThat(sequence.add("a", 0)).isEqualTo(Turn.NEVER);
    assertThat(sequence.closesNow()).isTrue();
  }

  @Test
  void isNotIdleWhileARequestIsOpenOrComing() {
    sequence.add("a", 0);
    assertThat(sequence.finishIfIdle(LATE, LIMIT)).isFalse();
    sequence.answered(true, START);
    sequence.read(LATE);
    assertThat(sequence.finishIfIdle(LATE.plus(LIMIT), LIMIT)).isFalse();
    assertThat(sequence.finishIfIdle(LATE.plus(LIMIT).plusMillis(1), LIMIT)).isTrue();
  }

  @Test
  void closesOnceAfterAllThatWasTakenBeforeItFinished() {
    sequence.add("a", 0);
    sequence.add("b", 0);
    sequence.finish();
    assertThat(sequence.add("c", 0)).isEqualTo(Turn.NEVER);
    assertThat(sequence.isLast()).isFalse();
    assertThat(sequence.answered(true, START)).isEqualTo("b");
    assertThat(sequence.isLast()).isTrue();
    assertThat(sequence.closesNow()).isFalse();
    assertThat(sequence.answered(true, START)).isNull();
    assertThat(sequence.closesNow()).isTrue();
    assertThat(sequence.closesNow()).isFalse();
  }

  @Test
  void closesAfterAnAnswerThatAnnouncedIt() {
    sequence.add("a", 0);
    sequence.add("b", 0);
    assertThat(sequence.answered(false, START)).isNull();
    assertThat(sequence.add("c", 0)).isEqualTo(Turn.NEVER);
    assertThat(sequence.closesNow()).isTrue();
  }

  @Test
  void takesABoundedNumberOfRequestsAhead() {
    sequence.add("open", 0);
    for (int i = 1; i < 32; i++) {
      assertThat(sequence.add("ahead" + i, 10)).isEqualTo(Turn.LATER);
    }
    assertThat(sequence.add("last", 10)).isEqualTo(Turn.LATER_AND_LAST);
    assertThat(sequence.add("beyond", 10)).isEqualTo(Turn.NEVER);
    assertThat(sequence.unanswered()).isEqualTo(33);
  }

  @Test
  void takesABoundedNumberOfBytesAhead() {
    sequence.add("open", 0);
    assertThat(sequence.add("large", 1024 * 1024)).isEqualTo(Turn.LATER_AND_LAST);
    assertThat(sequence.add("beyond", 0)).isEqualTo(Turn.NEVER);
  }

  @Test
  void asksForABodyThatIsHeldBackOnceItsTurnHasCome() {
    sequence.add("a", 0);
    assertThat(sequence.wantContinue()).isFalse();
    assertThat(sequence.takeContinue()).isFalse();
    sequence.answered(true, START);
    assertThat(sequence.takeContinue()).isTrue();
    assertThat(sequence.takeContinue()).isFalse();
  }

  @Test
  void asksAtOnceForABodyThatIsHeldBackWithNothingAhead() {
    assertThat(sequence.wantContinue()).isTrue();
    assertThat(sequence.takeContinue()).isFalse();
  }
}
