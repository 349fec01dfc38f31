package org.wigeonstage.gateway;

import java.util.Optional;
import org.wigeonstage.forward.ResponseFields;
import org.wigeonstage.forward.AttemptFailure;
import org.wigeonstage.http.ResponseHead;
import org.wigeonstage.routes.Route;
import org.wigeonstage.routes.RouteKind;

/** Tells from the beginning of a backend server's answer what it is. */
final class ResponseClassifier {

  private static final int OK = 200;
  private static final int MULTIPLE_CHOICES = 300;
  private static final int SERVER_ERROR = 500;
  private static final int MISDIRECTED = 421;

  private ResponseClassifier() {}

  /** Returns how the attempt ended if its answer is none to the request with an identifier. */
  static Optional<AttemptFailure> endOf(ResponseHead head, ResponseFields fields, String requestId) {
    if (fields.requestId().isPresent() && !fields.requestId().get().equals(requestId)) {
      return Optional.of(AttemptFailure.INVALID);
    }
    if (head.status() == MISDIRECTED) {
      return Optional.of(AttemptFailure.MISDIRECTED);
    }
    if (fields.isNotRun()) {
      return Optional.of(AttemptFailure.DECLINED);
    }
    boolean isUnusable = !fields.isSigned() || fields.isEncoded();
    return isSuccess(head) && isUnusable ? Optional.of(AttemptFailure.INVALID) : Optional.empty();
  }

  static boolean isSuccess(ResponseHead head) {
    return head.status() >= OK && head.status() < MULTIPLE_CHOICES;
  }

  static boolean isFailure(ResponseHead head) {
    return head.status() >= SERVER_ERROR;
  }

  /** Returns whether the answer to a request of a route is a stream of events. */
  static boolean isEventStream(Route route, ResponseHead head) {
    return route.kind() == RouteKind.STREAMING
        && head.status() == OK
        && head.fields()
            .first("Content-Type")
            .map(type -> type.startsWith("text/event-stream"))
            .orElse(false);
  }
}
