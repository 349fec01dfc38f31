package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.forward.RequestFields;
import org.wigeonstage.http.ServerExchange;
import org.wigeonstage.routes.ClientAccount;
import org.wigeonstage.routes.Route;
import org.wigeonstage.routes.RoutingTable;

/** A caller's request on its way through the {@link InboundFilter}s. */
final class InboundRequest {

  private final ServerExchange exchange;
  private final RequestFields fields;
  private final Duration arrivedAt;
  private final Duration readAt;
  private @Nullable RoutingTable table;
  private @Nullable Route route;
  private Optional<ClientAccount> account = Optional.empty();
  private long quotaUnits;
  private volatile boolean gone;

  InboundRequest(
      ServerExchange exchange, RequestFields fields, Duration arrivedAt, Duration readAt) {
    this.exchange = exchange;
    this.fields = fields;
    this.arrivedAt = arrivedAt;
    this.readAt = readAt;
  }

  /** Notes that the caller closed its connection. */
  void markGone() {
    gone = true;
  }

  boolean isGone() {
    return gone;
  }

  ServerExchange exchange() {
    return exchange;
  }

  RequestFields fields() {
    return fields;
  }

  /** Returns when the request was read, which is after its arrival where the process was busy. */
  Duration readAt() {
    return readAt;
  }

  Duration arrivedAt() {
    return arrivedAt;
  }

  void table(RoutingTable current) {
    table = current;
  }

  RoutingTable table() {
    return present(table, "routing table");
  }

  void route(Route matching) {
    route = matching;
  }

  Route route() {
    return present(route, "route");
  }

  Optional<Route> routeIfKnown() {
    return Optional.ofNullable(route);
  }

  void account(ClientAccount holder) {
    account = Optional.of(holder);
  }

  Optional<ClientAccount> account() {
    return account;
  }

  /** Notes what was taken from the account's quota. */
  void quotaUnits(long units) {
    quotaUnits = units;
  }

  long quotaUnits() {
    return quotaUnits;
  }

  private static <T> T present(@Nullable T value, String what) {
    if (value == null) {
      throw new IllegalStateException("the " + what + " is not known yet");
    }
    return value;
  }
}
