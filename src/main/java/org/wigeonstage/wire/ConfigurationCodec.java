package org.wigeonstage.wire;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.wigeonstage.fleet.ConfigurationReport;
import org.wigeonstage.fleet.KnownConfiguration;
import org.wigeonstage.fleet.StoreVersion;
import org.wigeonstage.routes.AccountQuota;
import org.wigeonstage.routes.ClientAccount;
import org.wigeonstage.routes.ConnectionLimits;
import org.wigeonstage.routes.PoolDefinition;
import org.wigeonstage.routes.Route;
import org.wigeonstage.routes.RouteKind;
import org.wigeonstage.routes.RoutingTable;
import org.wigeonstage.routes.WeightedPool;

/** Encodes and decodes the content of messages about configurations. */
final class ConfigurationCodec {

  private static final HexFormat HEX = HexFormat.of();

  private ConfigurationCodec() {}

  static void write(MessagePacker packer, @Nullable KnownConfiguration known) throws IOException {
    if (known == null) {
      packer.packNil();
      return;
    }
    packer
        .packLong(known.version().era())
        .packLong(known.version().revision())
        .packLong(known.tableVersion())
        .packLong(known.settledEra());
  }

  static void write(MessagePacker packer, @Nullable ConfigurationReport report) throws IOException {
    if (report == null) {
      packer.packNil();
      return;
    }
    write(packer, report.known());
    packer.packLong(report.age().toMillis());
    RoutingTable table = report.table();
    if (table == null) {
      packer.packNil();
    } else {
      writeTable(packer, table);
    }
  }

  private static void writeTable(MessagePacker packer, RoutingTable table) throws IOException {
    packer.packLong(table.version());
    List<Route> routes = table.routes();
    packer.packArrayHeader(routes.size());
    for (Route route : routes) {
      writeRoute(packer, route);
    }
    packer.packArrayHeader(table.pools().size());
    for (PoolDefinition pool : table.pools()) {
      packer
          .packString(pool.name())
          .packString(pool.healthPath())
          .packInt(pool.maxConnections())
          .packInt(pool.engineSlots())
          .packLong(pool.engineTokens())
          .packInt(pool.tokensPerEvent());
    }
    packer.packArrayHeader(table.accounts().size());
    for (ClientAccount account : table.accounts()) {
      writeAccount(packer, account);
    }
    ConnectionLimits limits = table.limits();
    packer
        .packInt(limits.maxHeadBytes())
        .packInt(limits.maxBodyBytes())
        .packLong(limits.headTimeout().toMillis())
        .packLong(limits.idleTimeout().toMillis());
  }

  private static void writeRoute(MessagePacker packer, Route route) throws IOException {
    packer
        .packString(route.name())
        .packString(route.hostName())
        .packString(route.pathPrefix())
        .packInt(route.kind().ordinal())
        .packBoolean(route.isResumable())
        .packLong(route.timeout().toMillis())
        .packLong(route.firstPartObjective().toMillis())
        .packLong(route.gapObjective().toMillis())
        .packInt(route.rank())
        .packInt(route.maxAttempts())
        .packBoolean(route.allowsAnonymous())
        .packArrayHeader(route.pools().size());
    for (WeightedPool pool : route.pools()) {
      packer.packString(pool.pool()).packInt(pool.weight());
    }
  }

  private static void writeAccount(MessagePacker packer, ClientAccount account) throws IOException {
    packer.packString(account.name()).packArrayHeader(account.keyHashes().size());
    for (String hash : account.keyHashes()) {
      byte[] digest = HEX.parseHex(hash);
      packer.packBinaryHeader(digest.length).addPayload(digest);
    }
    AccountQuota quota = account.quota();
    packer
        .packInt(account.rank())
        .packDouble(quota.unitsPerSecond())
        .packDouble(quota.burstUnits())
        .packBoolean(quota.countsTokens())
        .packLong(quota.defaultTokens());
  }

  static @Nullable KnownConfiguration readKnown(MessageUnpacker in) throws IOException {
    return in.tryUnpackNil()
        ? null
        : new KnownConfiguration(
            new StoreVersion(in.unpackLong(), in.unpackLong()), in.unpackLong(), in.unpackLong());
  }

  static @Nullable ConfigurationReport readReport(MessageUnpacker in) throws IOException {
    KnownConfiguration known = readKnown(in);
    if (known == null) {
      return null;
    }
    long ageMillis = in.unpackLong();
    if (ageMillis < 0) {
      throw new BadFrameException("the age must be at least 0, was " + ageMillis, null);
    }
    RoutingTable table = in.tryUnpackNil() ? null : readTable(in);
    return new ConfigurationReport(known, Duration.ofMillis(ageMillis), table);
  }

  private static RoutingTable readTable(MessageUnpacker in) throws IOException {
    long version = in.unpackLong();
    List<Route> routes = new ArrayList<>();
    for (int remaining = in.unpackArrayHeader(); remaining > 0; remaining--) {
      routes.add(readRoute(in));
    }
    List<PoolDefinition> pools = new ArrayList<>();
    for (int remaining = in.unpackArrayHeader(); remaining > 0; remaining--) {
      pools.add(
          new PoolDefinition(
              MessageDecoder.readText(in),
              MessageDecoder.readText(in),
              in.unpackInt(),
              in.unpackInt(),
              in.unpackLong(),
              in.unpackInt()));
    }
    List<ClientAccount> accounts = new ArrayList<>();
    for (int remaining = in.unpackArrayHeader(); remaining > 0; remaining--) {
      accounts.add(readAccount(in));
    }
    ConnectionLimits limits =
        new ConnectionLimits(in.unpackInt(), in.unpackInt(), readMillis(in), readMillis(in));
    return new RoutingTable(version, routes, pools, accounts, limits);
  }

  private static Route readRoute(MessageUnpacker in) throws IOException {
    return new Route(
        MessageDecoder.readText(in),
        MessageDecoder.readText(in),
        MessageDecoder.readText(in),
        MessageDecoder.enumConstant(RouteKind.values(), in.unpackInt()),
        in.unpackBoolean(),
        readMillis(in),
        readMillis(in),
        readMillis(in),
        in.unpackInt(),
        in.unpackInt(),
        in.unpackBoolean(),
        readWeightedPools(in));
  }

  private static List<WeightedPool> readWeightedPools(MessageUnpacker in) throws IOException {
    List<WeightedPool> pools = new ArrayList<>();
    for (int remaining = in.unpackArrayHeader(); remaining > 0; remaining--) {
      pools.add(new WeightedPool(MessageDecoder.readText(in), in.unpackInt()));
    }
    return pools;
  }

  private static ClientAccount readAccount(MessageUnpacker in) throws IOException {
    String name = MessageDecoder.readText(in);
    Set<String> hashes = new HashSet<>();
    for (int remaining = in.unpackArrayHeader(); remaining > 0; remaining--) {
      hashes.add(HEX.formatHex(in.readPayload(in.unpackBinaryHeader())));
    }
    int rank = in.unpackInt();
    AccountQuota quota =
        new AccountQuota(in.unpackDouble(), in.unpackDouble(), in.unpackBoolean(), in.unpackLong());
    return new ClientAccount(name, hashes, rank, quota);
  }

  private static Duration readMillis(MessageUnpacker in) throws IOException {
    return Duration.ofMillis(in.unpackLong());
  }
}
