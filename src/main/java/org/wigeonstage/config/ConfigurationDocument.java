package org.wigeonstage.config;

import com.google.common.collect.Iterables;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.request.Tier;

/**
 * The configuration that operators write. All entries and agents apply the same document.
 *
 * @param tiers the tiers, from the highest to the lowest
 * @param accounts the client accounts
 * @param pools the backend server pools
 * @param rules the rules; the first one that matches a request applies to it
 */
public record ConfigurationDocument(
    List<TierSpec> tiers, List<AccountSpec> accounts, List<PoolSpec> pools, List<RuleSpec> rules) {

  /** The document that is in force before any other is known. */
  public static final ConfigurationDocument EMPTY =
      new ConfigurationDocument(List.of(), List.of(), List.of(), List.of());

  /** Makes the lists immutable. */
  public ConfigurationDocument {
    tiers = List.copyOf(tiers);
    accounts = List.copyOf(accounts);
    pools = List.copyOf(pools);
    rules = List.copyOf(rules);
  }

  /**
   * Returns the tier with a name.
   *
   * @param name a name that the document defines
   * @return the tier
   */
  public Tier findTier(String name) {
    return Tier.of(Iterables.indexOf(tiers, tier -> tier.name().equals(name)));
  }

  /**
   * Returns the definition of a tier.
   *
   * @param tier a tier of this document
   * @return the definition
   */
  public TierSpec tierSpec(Tier tier) {
    return tiers.get(tier.rank());
  }

  /**
   * Returns the pool with a name.
   *
   * @param name the pool's name
   * @return the pool, or empty
   */
  public Optional<PoolSpec> pool(String name) {
    return pools.stream().filter(pool -> pool.name().equals(name)).findFirst();
  }

  /**
   * Returns the pool that serves a model.
   *
   * @param model the model's name
   * @return the pool, or empty
   */
  public Optional<PoolSpec> poolForModel(String model) {
    return pools.stream().filter(pool -> pool.models().contains(model)).findFirst();
  }

  /**
   * Returns the first rule that matches a request.
   *
   * @param account the account's name
   * @param method the HTTP method
   * @param path the path without its query
   * @param model the model's name, or the empty string for a plain service
   * @return the rule, or null if none matches
   */
  public @Nullable RuleSpec ruleFor(String account, String method, String path, String model) {
    for (RuleSpec rule : rules) {
      if (rule.matches(account, method, path, model)) {
        return rule;
      }
    }
    return null;
  }

  /**
   * Returns the names of all members of all pools.
   *
   * @return the agents' names
   */
  public Set<String> memberNames() {
    Set<String> names = new HashSet<>();
    pools.forEach(pool -> names.addAll(pool.memberNames()));
    return names;
  }
}
