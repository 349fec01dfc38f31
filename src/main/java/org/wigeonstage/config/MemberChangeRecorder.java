package org.wigeonstage.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.Json;
import org.wigeonstage.request.MemberChange;

/** Records in an accepted document the last change of the members of each pool. */
final class MemberChangeRecorder {

  /** How long a change counts as recent; longer than any agent retains an idempotency key. */
  private static final Duration RECENT_PERIOD = Duration.ofMinutes(30);

  private final long nowMillis;

  MemberChangeRecorder(long nowMillis) {
    this.nowMillis = nowMillis;
  }

  /** Returns the new document, with the last member change of each pool set. */
  JsonNode recordIn(JsonNode before, JsonNode after) {
    ConfigurationDocument newDocument = Json.read(after, ConfigurationDocument.class);
    ConfigurationDocument previous =
        before.isObject()
            ? Json.read(before, ConfigurationDocument.class)
            : ConfigurationDocument.EMPTY;
    List<PoolSpec> pools =
        newDocument.pools().stream()
            .map(pool -> pool.withMemberChange(lastChange(previous.pool(pool.name()), pool)))
            .toList();
    return Json.toTree(
        new ConfigurationDocument(
            newDocument.tiers(), newDocument.accounts(), pools, newDocument.rules()));
  }

  private @Nullable MemberChange lastChange(Optional<PoolSpec> before, PoolSpec after) {
    if (before.isEmpty()) {
      return null;
    }
    PoolSpec previous = before.get();
    MemberChange earlier = previous.memberChange();
    boolean isUnchanged =
        Set.copyOf(previous.memberNames()).equals(Set.copyOf(after.memberNames()));
    if (isUnchanged) {
      return earlier;
    }
    // After two changes within this period, an idempotency key may have been used at an agent that
    // was a member only before the first one. The list is left empty, so that all keys count as
    // moved.
    boolean followsRecentChange =
        earlier != null && earlier.atMillis() + RECENT_PERIOD.toMillis() > nowMillis;
    return new MemberChange(nowMillis, followsRecentChange ? List.of() : previous.memberNames());
  }
}
