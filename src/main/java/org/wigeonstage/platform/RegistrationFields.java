package org.wigeonstage.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.net.InetAddresses;
import java.net.InetAddress;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.http.Endpoint;

/**
 * Reads the fields of a registration. Each method throws a {@link WigeonstageException} with {@link
 * ErrorCode#BAD_REQUEST} if the field is missing, of another type or out of range.
 */
final class RegistrationFields {

  /** The maximum number of characters of a text. */
  static final int MAX_TEXT_LENGTH = 256;

  private static final int MAX_PORT = 65_535;

  /** The number of the port has at most five digits. */
  private static final Pattern ADDRESS = Pattern.compile("([0-9.]{7,15}):([0-9]{1,5})");

  /** Names are sent in header fields, so they consist of printable ASCII characters. */
  private static final Pattern NAME = Pattern.compile("[!-~]{1," + MAX_TEXT_LENGTH + "}");

  private static final String BROADCAST_ADDRESS = "255.255.255.255";

  private final JsonNode registration;

  RegistrationFields(JsonNode registration) {
    this.registration = registration;
  }

  /** Returns the name if it can be sent in a header field. */
  static String checkName(String name) {
    if (!NAME.matcher(name).matches()) {
      throw invalid("name");
    }
    return name;
  }

  String text(String field) {
    JsonNode value = registration.path(field);
    if (!value.isTextual() || value.asText().length() > MAX_TEXT_LENGTH) {
      throw invalid(field);
    }
    return value.asText();
  }

  /** Returns a whole number in the given range. */
  long wholeNumber(String field, long min, long max) {
    JsonNode value = registration.path(field);
    if (!value.isIntegralNumber()
        || !value.canConvertToLong()
        || value.asLong() < min
        || value.asLong() > max) {
      throw invalid(field);
    }
    return value.asLong();
  }

  /** Returns a whole number of at least 0, or empty if the field is missing. */
  OptionalLong optionalWholeNumber(String field) {
    return registration.has(field)
        ? OptionalLong.of(wholeNumber(field, 0, Long.MAX_VALUE))
        : OptionalLong.empty();
  }

  /** Checks that a field is a finite number. */
  void checkNumber(String field) {
    JsonNode value = registration.path(field);
    if (!value.isNumber() || !Double.isFinite(value.asDouble())) {
      throw invalid(field);
    }
  }

  /** Returns a number in the given range. */
  double number(String field, double min, double max) {
    JsonNode value = registration.path(field);
    if (!value.isNumber() || !(value.asDouble() >= min && value.asDouble() <= max)) {
      throw new WigeonstageException(
          ErrorCode.BAD_REQUEST, field + " must be a number from " + min + " to " + max);
    }
    return value.asDouble();
  }

  /** Returns the IPv4 address and port of another process. */
  Endpoint address(String field) {
    Matcher matcher = ADDRESS.matcher(text(field));
    if (!matcher.matches() || !InetAddresses.isInetAddress(matcher.group(1))) {
      throw invalid(field);
    }
    int port = Integer.parseInt(matcher.group(2));
    if (port < 1 || port > MAX_PORT || !isHost(matcher.group(1))) {
      throw invalid(field);
    }
    return new Endpoint(matcher.group(1), port);
  }

  private static boolean isHost(String address) {
    InetAddress parsed = InetAddresses.forString(address);
    return !parsed.isAnyLocalAddress()
        && !parsed.isMulticastAddress()
        && !address.equals(BROADCAST_ADDRESS);
  }

  static WigeonstageException invalid(String field) {
    return new WigeonstageException(ErrorCode.BAD_REQUEST, field + " is missing or invalid");
  }
}
