package org.wigeonstage.forward;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class AttemptPolicyTest {

  @ParameterizedTest(name = "{0}, repeatable {1}, earlier may have run {2}, can retry {3}: {4}")
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
    "FAILED, true, false, true, RETRY",
    "FAILED, true, false, false, PASS_ON",
    "FAILED, false, false, true, PASS_ON",
    "CUT, true, false, true, RETRY",
    "CUT, false, false, true, REPORT_UNKNOWN",
    "TIMED_OUT, true, false, true, REPORT_TIMEOUT",
    "TIMED_OUT, false, false, false, REPORT_TIMEOUT"
  })
  void decidesBeforeTheCallerHasPartOfTheAnswer(
      AttemptFailure end,
      boolean mayRetry,
      boolean mayHaveRun,
      boolean hasRetriesLeft,
      Verdict expected) {
    for (boolean isStream : new boolean[] {true, false}) {
      AttemptContext context =
          new AttemptContext(mayRetry, isStream, false, mayHaveRun, hasRetriesLeft);
      assertThat(AttemptPolicy.decide(end, context)).isEqualTo(expected);
    }
  }

  @ParameterizedTest
  @EnumSource(AttemptFailure.class)
  void resumesAStreamThatMayRepeat(AttemptFailure end) {
    Verdict verdict = AttemptPolicy.decide(end, new AttemptContext(true, true, true, true, true));
    assertThat(verdict)
        .isEqualTo(end == AttemptFailure.TIMED_OUT ? Verdict.BREAK_OFF : Verdict.RESUME);
  }

  @ParameterizedTest
  @EnumSource(AttemptFailure.class)
  void breaksOffWhatHasBegunAndCannotGoOn(AttemptFailure end) {
    assertThat(AttemptPolicy.decide(end, new AttemptContext(false, true, true, true, true)))
        .isEqualTo(Verdict.BREAK_OFF);
    assertThat(AttemptPolicy.decide(end, new AttemptContext(true, false, true, true, true)))
        .isEqualTo(Verdict.BREAK_OFF);
    assertThat(AttemptPolicy.decide(end, new AttemptContext(true, true, true, true, false)))
        .isEqualTo(Verdict.BREAK_OFF);
  }

  @Test
  void neverRepeatsWhatMayHaveRunAndNeverRefusesIt() {
    for (AttemptFailure end : AttemptFailure.values()) {
      for (int bits = 0; bits < 16; bits++) {
        AttemptContext context =
            new AttemptContext(
                false, (bits & 1) != 0, (bits & 2) != 0, (bits & 4) != 0, (bits & 8) != 0);
        Verdict verdict = AttemptPolicy.decide(end, context);
        boolean mayHaveRun = context.mayHaveRun() || context.hasStarted() || !end.isNotRun();
        if (mayHaveRun) {
          assertThat(verdict).isNotIn(Verdict.RETRY, Verdict.RESUME, Verdict.REFUSE);
        }
      }
    }
  }
}
