package org.wigeonstage.gateway;

import java.util.Optional;
import org.wigeonstage.forward.AttemptFailure;
import org.wigeonstage.forward.ResponseFields;
import org.wigeonstage.http.ResponseHead;
import org.wigeonstage.routes.Route;
import org.wigeonstage.routes.RouteKind;

/** Classifies the responses of backend servers by their heads. */
final class ResponseClassifier {

  private static final int OK = 200;
  private static final int MULTIPLE_CHOICES = 300;
  private static final int SERVER_ERROR = 500;
  private static final int MISDIRECTED_REQUEST = 421;

  private ResponseClassifier() {}

  /** Returns how the attempt failed, or empty if the head belongs to a usable response. */
  static Optional<AttemptFailure> failureOf(
      ResponseHead head, ResponseFields fields, String requestId) {
    if (fields.requestId().isPresent() && !fields.requestId().get().equals(requestId)) {
      return Optional.of(AttemptFailure.INVALID);
    }
    if (head.status() == MISDIRECTED_REQUEST) {
      return Optional.of(AttemptFailure.MISDIRECTED);
    }
    if (fields.declaresNotRun()) {
      return Optional.of(AttemptFailure.DECLINED);
    }
    boolean isUnusable = !fields.isSigned() || fields.isEncoded();
    return isSuccess(head) && isUnusable ? Optional.of(AttemptFailure.INVALID) : Optional.empty();
  }

  static boolean isSuccess(ResponseHead head) {
    return head.status() >= OK && head.status() < MULTIPLE_CHOICES;
  }

  static boolean isServerError(ResponseHead head) {
    return head.status() >= SERVER_ERROR;
  }

  /** Returns whether the response to a request of the route is an event stream. */
  static boolean isEventStream(Route route, ResponseHead head) {
    return route.kind() == RouteKind.STREAMING
        && head.status() == OK
        && head.fields()
            .first("Content-Type")
            .map(type -> type.startsWith("text/event-stream"))
            .orElse(false);
  }
}
