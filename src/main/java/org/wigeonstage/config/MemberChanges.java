package org.wigeonstage.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.Json;
import org.wigeonstage.request.MemberChange;

/** Notes in an accepted document when each pool's members changed, and what they were before. */
final class MemberChanges {

  /** How long a change is remembered; longer than any agent remembers a key. */
  private static final Duration MEMORY = Duration.ofMinutes(30);

  private final long nowMillis;

  MemberChanges(long nowMillis) {
    this.nowMillis = nowMillis;
  }

  /** Returns the new document with the notes that follow from the one before. */
  JsonNode stamp(JsonNode before, JsonNode after) {
    ConfigurationDocument fresh = Json.read(after, ConfigurationDocument.class);
    ConfigurationDocument old =
        before.isObject()
            ? Json.read(before, ConfigurationDocument.class)
            : ConfigurationDocument.EMPTY;
    List<PoolSpec> pools =
        fresh.pools().stream()
            .map(pool -> pool.withMemberChange(changeOf(old.pool(pool.name()), pool)))
            .toList();
    return Json.toTree(
        new ConfigurationDocument(fresh.tiers(), fresh.accounts(), pools, fresh.rules()));
  }

  private @Nullable MemberChange changeOf(Optional<PoolSpec> before, PoolSpec after) {
    if (before.isEmpty()) {
      return null;
    }
    PoolSpec old = before.get();
    MemberChange earlier = old.memberChange();
    boolean same = Set.copyOf(old.memberNames()).equals(Set.copyOf(after.memberNames()));
    if (same) {
      return earlier;
    }
    boolean shortlyBefore = earlier != null && earlier.atMillis() + MEMORY.toMillis() > nowMillis;
    return new MemberChange(nowMillis, shortlyBefore ? List.of() : old.memberNames());
  }
}
