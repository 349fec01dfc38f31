package org.wigeonstage.forward;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class AttemptPolicyTest {

  @ParameterizedTest(
      name = "{0}, may run more than once {1}, may have run {2}, has retries left {3}: {4}")
  @CsvSource({
    "NOT_SENT, true, false, true, RETRY",
    "NOT_SENT, true, true, true, RETRY",
    "NOT_SENT, true, false, false, REFUSE",
    "NOT_SENT, true, true, false, REPORT_UNKNOWN",
    "NOT_SENT, false, false, true, RETRY",
    "NOT_SENT, false, false, false, REFUSE",
    "DECLINED, true, false, true, RETRY",
    "DECLINED, true, true, false, REPORT_UNKNOWN",
    "DECLINED, false, false, true, RETRY",
    "DECLINED, false, false, false, REFUSE",
    "MISDIRECTED, false, false, true, RETRY",
    "MISDIRECTED, false, false, false, REFUSE",
    "LOST, true, false, true, RETRY",
    "LOST, true, false, false, REPORT_UNKNOWN",
    "LOST, false, false, true, REPORT_UNKNOWN",
    "LOST, false, false, false, REPORT_UNKNOWN",
    "INVALID, true, false, true, RETRY",
    "INVALID, false, false, true, REPORT_UNKNOWN",
    "INVALID_STATUS, true, false, true, RETRY",
    "INVALID_STATUS, true, false, false, REPORT_UNKNOWN",
    "INVALID_STATUS, false, false, true, REPORT_UNKNOWN",
    "FAILED, true, false, true, RETRY",
    "FAILED, true, false, false, PASS_ON",
    "FAILED, false, false, true, PASS_ON",
    "CUT, true, false, true, RETRY",
    "CUT, false, false, true, REPORT_UNKNOWN",
    "TIMED_OUT, true, false, true, REPORT_TIMEOUT",
    "TIMED_OUT, false, false, false, REPORT_TIMEOUT"
  })
  void returnsTheListedVerdictBeforeTheResponseHasStarted(
      AttemptFailure failure,
      boolean mayRunMoreThanOnce,
      boolean mayHaveRun,
      boolean hasRetriesLeft,
      Verdict expected) {
    for (boolean isStream : new boolean[] {true, false}) {
      AttemptContext context =
          new AttemptContext(mayRunMoreThanOnce, isStream, false, mayHaveRun, hasRetriesLeft);
      assertThat(AttemptPolicy.decide(failure, context)).isEqualTo(expected);
    }
  }

  @ParameterizedTest
  @EnumSource(AttemptFailure.class)
  void resumesAStartedStreamThatMayRunMoreThanOnceUnlessItTimedOut(AttemptFailure failure) {
    Verdict verdict =
        AttemptPolicy.decide(failure, new AttemptContext(true, true, true, true, true));
    assertThat(verdict)
        .isEqualTo(failure == AttemptFailure.TIMED_OUT ? Verdict.BREAK_OFF : Verdict.RESUME);
  }

  @ParameterizedTest
  @EnumSource(AttemptFailure.class)
  void abortsAStartedResponseThatCannotBeResumed(AttemptFailure failure) {
    assertThat(AttemptPolicy.decide(failure, new AttemptContext(false, true, true, true, true)))
        .isEqualTo(Verdict.BREAK_OFF);
    assertThat(AttemptPolicy.decide(failure, new AttemptContext(true, false, true, true, true)))
        .isEqualTo(Verdict.BREAK_OFF);
    assertThat(AttemptPolicy.decide(failure, new AttemptContext(true, true, true, true, false)))
        .isEqualTo(Verdict.BREAK_OFF);
  }

  @Test
  void neitherRetriesNorRefusesANonIdempotentRequestThatMayHaveRun() {
    for (AttemptFailure failure : AttemptFailure.values()) {
      for (int flags = 0; flags < 16; flags++) {
        AttemptContext context =
            new AttemptContext(
                false, (flags & 1) != 0, (flags & 2) != 0, (flags & 4) != 0, (flags & 8) != 0);
        Verdict verdict = AttemptPolicy.decide(failure, context);
        boolean mayHaveRun =
            context.mayHaveRun() || context.hasResponseStarted() || !failure.certainlyDidNotRun();
        if (mayHaveRun) {
          assertThat(verdict).isNotIn(Verdict.RETRY, Verdict.RESUME, Verdict.REFUSE);
        }
      }
    }
  }
}
