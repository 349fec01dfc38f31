package org.wigeonstage.gateway;

import java.util.Optional;
import org.wigeonstage.forward.AttemptFailure;
import org.wigeonstage.forward.ResponseFields;
import org.wigeonstage.forward.ResponseOrigin;
import org.wigeonstage.http.ResponseHead;
import org.wigeonstage.routes.Route;
import org.wigeonstage.routes.RouteKind;

/** Classifies the responses of backend servers by their heads. */
final class ResponseClassifier {

  private static final int OK = 200;
  private static final int MULTIPLE_CHOICES = 300;
  private static final int SERVER_ERROR = 500;
  private static final int MAX_STATUS = 599;
  private static final int REQUEST_TIMEOUT = 408;
  private static final int MISDIRECTED_REQUEST = 421;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;

  private ResponseClassifier() {}

  /**
   * Returns how the attempt failed, or empty if the head belongs to a usable response.
   *
   * @param isFirstOnConnection whether no other response can have been sent on its connection
   */
  static Optional<AttemptFailure> failureOf(
      ResponseHead head, ResponseFields fields, String requestId, boolean isFirstOnConnection) {
    // No request asks for another protocol, and a response that is not final never gets a body.
    if (head.status() < OK || head.status() > MAX_STATUS) {
      return Optional.of(AttemptFailure.INVALID_STATUS);
    }
    if (!ResponseOrigin.belongsTo(requestId, fields.requestId(), isFirstOnConnection)) {
      return Optional.of(AttemptFailure.INVALID);
    }
    if (head.status() == MISDIRECTED_REQUEST) {
      return Optional.of(AttemptFailure.MISDIRECTED);
    }
    if (isSuccess(head)) {
      boolean isUsable = fields.isSigned() && !fields.isEncoded() && !fields.declaresNotRun();
      return isUsable ? Optional.empty() : Optional.of(AttemptFailure.INVALID);
    }
    if (fields.declaresNotRun()) {
      return Optional.of(AttemptFailure.DECLINED);
    }
    return impliesNotRun(head) ? Optional.of(AttemptFailure.INVALID) : Optional.empty();
  }

  /** Returns whether the server that was asked announces that it is leaving. */
  static boolean announcesLeaving(
      ResponseHead head, ResponseFields fields, String requestId, boolean isFirstOnConnection) {
    return fields.announcesLeaving()
        && head.status() != MISDIRECTED_REQUEST // from another server at its address
        && ResponseOrigin.belongsTo(requestId, fields.requestId(), isFirstOnConnection);
  }

  /** Returns whether callers conclude from the status that the request did not run. */
  private static boolean impliesNotRun(ResponseHead head) {
    return switch (head.status()) {
      case REQUEST_TIMEOUT, TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE -> true;
      default -> false;
    };
  }

  static boolean isSuccess(ResponseHead head) {
    return head.status() >= OK && head.status() < MULTIPLE_CHOICES;
  }

  static boolean isServerError(ResponseHead head) {
    return head.status() >= SERVER_ERROR;
  }

  /**
   * Returns whether a response must be an event stream. Its route decides, whatever media type the
   * server declares.
   */
  static boolean isEventStream(Route route, String method, ResponseHead head) {
    return route.kind() == RouteKind.STREAMING && isSuccess(head) && !method.equals("HEAD");
  }
}
