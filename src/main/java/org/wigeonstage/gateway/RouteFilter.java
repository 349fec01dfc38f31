package org.wigeonstage.gateway;

import java.util.Optional;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.routes.Route;

/** Finds the route of a request, and checks the size of its body. */
final class RouteFilter implements InboundFilter {

  @Override
  public Optional<Rejection> apply(InboundRequest request) {
    String hostField = request.exchange().header("Host");
    String hostName = hostField == null ? "" : withoutPort(hostField);
    Optional<Route> route = request.table().route(hostName, request.exchange().path());
    if (route.isEmpty()) {
      return Optional.of(Rejection.of(ErrorCode.NOT_FOUND, "no route matches the request"));
    }
    if (request.exchange().body().length > request.table().limits().maxBodyBytes()) {
      return Optional.of(Rejection.of(ErrorCode.BODY_TOO_LARGE, "the request body is too large"));
    }
    request.setRoute(route.get());
    return Optional.empty();
  }

  static String withoutPort(String hostField) {
    int colon = hostField.indexOf(':');
    return colon < 0 ? hostField : hostField.substring(0, colon);
  }
}
