package org.wigeonstage.http;

import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import org.jspecify.annotations.Nullable;

/**
 * Values of the {@code Date} header field, cached for one second.
 *
 * <p>The value is formatted by hand, because the JDK's date formatters load locale data on first
 * use, and Grizzly's formatter also loads the names of all time zones. This would delay the first
 * requests to a process that has just started.
 */
final class DateHeader {

  private static final String[] DAYS = {"Mon", "Tue", "Wed", "Thu", "Fri", "Sat", "Sun"};
  private static final String[] MONTHS = {
    "Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec"
  };
  private static final int MIN_TWO_DIGIT_NUMBER = 10;

  private static volatile @Nullable Cached cached;

  /**
   * A formatted value.
   *
   * @param epochSecond the second that the value denotes
   * @param text the value
   */
  private record Cached(long epochSecond, String text) {}

  private DateHeader() {}

  /** Returns the value for the current time. */
  static String now() {
    return at(Instant.now());
  }

  /** Returns the value for the given time. */
  static String at(Instant time) {
    Cached current = cached;
    if (current == null || current.epochSecond() != time.getEpochSecond()) {
      current = new Cached(time.getEpochSecond(), format(time));
      cached = current;
    }
    return current.text();
  }

  private static String format(Instant time) {
    LocalDateTime utc = LocalDateTime.ofInstant(time, ZoneOffset.UTC);
    StringBuilder text = new StringBuilder();
    text.append(DAYS[utc.getDayOfWeek().ordinal()]).append(", ");
    appendTwoDigits(text, utc.getDayOfMonth());
    text.append(' ').append(MONTHS[utc.getMonth().ordinal()]);
    text.append(' ').append(utc.getYear()).append(' ');
    appendTwoDigits(text, utc.getHour());
    text.append(':');
    appendTwoDigits(text, utc.getMinute());
    text.append(':');
    appendTwoDigits(text, utc.getSecond());
    return text.append(" GMT").toString();
  }

  private static void appendTwoDigits(StringBuilder text, int value) {
    if (value < MIN_TWO_DIGIT_NUMBER) {
      text.append('0');
    }
    text.append(value);
  }
}
