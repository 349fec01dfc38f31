package org.wigeonstage.gateway;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Supplier;
import org.wigeonstage.common.KeyHash;
import org.wigeonstage.forward.HeaderCodec;
import org.wigeonstage.http.MemoryBound;
import org.wigeonstage.placement.Urgency;
import org.wigeonstage.request.HeaderFields;
import org.wigeonstage.routes.Route;
import org.wigeonstage.routes.RoutingTable;

/**
 * Decides by the urgency of a request how full the memory for callers may be after its admission.
 * Bodies are not read yet, and the lock of {@link GatewayCore} is not held. Thread-safe.
 */
final class MemoryAdmission implements MemoryBound.Admission {

  /** The share for the least urgent requests, and for those that the filters would reject. */
  static final double MIN_SHARE = 0.5;

  private final Supplier<Optional<RoutingTable>> table;
  private final HeaderCodec codec;

  MemoryAdmission(Supplier<Optional<RoutingTable>> table, HeaderCodec codec) {
    this.table = table;
    this.codec = codec;
  }

  @Override
  public double shareFor(String path, HeaderFields fields) {
    return table.get().map(current -> shareFor(current, path, fields)).orElse(MIN_SHARE);
  }

  private double shareFor(RoutingTable current, String path, HeaderFields fields) {
    String hostName = RouteFilter.withoutPort(fields.first("Host").orElse(""));
    Optional<Route> route = current.route(hostName, path);
    OptionalInt accountRank =
        route.isPresent() ? accountRank(current, route.get(), fields) : OptionalInt.empty();
    return accountRank.isPresent()
        ? shareFor(new Urgency(accountRank.getAsInt(), route.orElseThrow().rank()))
        : MIN_SHARE;
  }

  private OptionalInt accountRank(RoutingTable current, Route route, HeaderFields fields) {
    if (!current.requiresApiKeys() || route.allowsAnonymous()) {
      return OptionalInt.of(0);
    }
    return codec
        .decodeRequest(fields)
        .apiKey()
        .flatMap(key -> current.account(KeyHash.ofOctets(key)))
        .map(account -> OptionalInt.of(account.rank()))
        .orElse(OptionalInt.empty());
  }

  /**
   * Returns the share for an urgency: 1 for the most urgent, always less for a less urgent one.
   * Account rank a has the shares from 1 / (a + 1) down to 1 / (a + 2), as parts of what is above
   * the minimum, so that the ranks that exist need not be known.
   */
  static double shareFor(Urgency urgency) {
    double ofAccount = 1.0 / (urgency.accountRank() + 1);
    double ofNextAccount = 1.0 / (urgency.accountRank() + 2);
    double routePosition = urgency.routeRank() / (urgency.routeRank() + 1.0);
    double part = ofAccount - (ofAccount - ofNextAccount) * routePosition;
    return MIN_SHARE + (1 - MIN_SHARE) * part;
  }
}
