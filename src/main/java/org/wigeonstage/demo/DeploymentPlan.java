package org.wigeonstage.demo;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.wigeonstage.common.Json;
import org.wigeonstage.common.KeyHash;
import org.wigeonstage.config.AccountSpec;
import org.wigeonstage.config.ConfigurationDocument;
import org.wigeonstage.config.MemberSpec;
import org.wigeonstage.config.PoolSpec;
import org.wigeonstage.config.RuleSpec;
import org.wigeonstage.config.TierSpec;
import org.wigeonstage.load.RequestClass;

/**
 * A deployment to start on one machine, and the load to send to it.
 *
 * @param name the deployment's name
 * @param entries the number of entries
 * @param failureDomains the names of the failure domains, to which processes are assigned in turn
 * @param tiers the tiers, from the highest to the lowest
 * @param accounts the client accounts, with their API keys
 * @param pools the backend server pools
 * @param rules the rules
 * @param classes the classes of requests that its callers send
 */
public record DeploymentPlan(
    String name,
    int entries,
    List<String> failureDomains,
    List<TierSpec> tiers,
    List<Account> accounts,
    List<Pool> pools,
    List<RuleSpec> rules,
    List<RequestClass> classes) {

  /** A client account with its API key in plain text, for use on one machine only. */
  record Account(String name, String key, String tier, double requestsPerSecond) {}

  /** A pool with the number of its backend servers. */
  record Pool(String name, PoolSpec.Kind kind, List<String> models, int size) {}

  /**
   * Reads a plan that is built into the program.
   *
   * @param name {@code botiquin} or {@code norrvik}
   * @return the plan
   * @throws IllegalArgumentException if there is no such plan
   */
  public static DeploymentPlan named(String name) {
    try (InputStream in = DeploymentPlan.class.getResourceAsStream(name + ".json")) {
      if (in == null) {
        throw new IllegalArgumentException("there is no deployment plan named " + name);
      }
      String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      return Json.read(text, DeploymentPlan.class);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Returns the configuration document of the plan.
   *
   * @return the document
   */
  public ConfigurationDocument toDocument() {
    List<AccountSpec> accountSpecs =
        accounts.stream()
            .map(
                account ->
                    new AccountSpec(
                        account.name(),
                        List.of(KeyHash.of(account.key())),
                        account.tier(),
                        account.requestsPerSecond()))
            .toList();
    List<PoolSpec> poolSpecs = pools.stream().map(this::toSpec).toList();
    return new ConfigurationDocument(tiers, accountSpecs, poolSpecs, rules);
  }

  private PoolSpec toSpec(Pool pool) {
    List<MemberSpec> members = new ArrayList<>();
    for (int i = 0; i < pool.size(); i++) {
      members.add(new MemberSpec(agentName(pool, i), failureDomainOf(i)));
    }
    return new PoolSpec(pool.name(), pool.kind(), pool.models(), members, true);
  }

  String failureDomainOf(int index) {
    return failureDomains.get(index % failureDomains.size());
  }

  static String agentName(Pool pool, int index) {
    return pool.name() + "-" + (index + 1);
  }
}
