package org.wigeonstage.gateway;

import java.util.Optional;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.routes.Route;

/** Finds the route of a request, and checks the size of its body. */
final class RouteFilter implements InboundFilter {

  @Override
  public Optional<Rejection> apply(InboundRequest call) {
    String host = call.exchange().header("Host");
    String name = host == null ? "" : withoutPort(host);
    Optional<Route> route = call.table().route(name, call.exchange().path());
    if (route.isEmpty()) {
      return Optional.of(Rejection.of(ErrorCode.NOT_FOUND, "no route matches"));
    }
    if (call.exchange().body().length > call.table().limits().maxBodyBytes()) {
      return Optional.of(Rejection.of(ErrorCode.BODY_TOO_LARGE, "the body is too large"));
    }
    call.route(route.get());
    return Optional.empty();
  }

  private static String withoutPort(String host) {
    int colon = host.indexOf(':');
    return colon < 0 ? host : host.substring(0, colon);
  }
}
