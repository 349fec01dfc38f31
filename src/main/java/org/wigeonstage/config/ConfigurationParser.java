package org.wigeonstage.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.DocumentFault;
import org.wigeonstage.common.InvalidDocumentException;
import org.wigeonstage.common.Json;
import org.wigeonstage.common.JsonSchemaChecker;

/** Reads configuration documents and refuses those with faults, naming all of them. */
public final class ConfigurationParser {

  private static final JsonSchemaChecker SCHEMA =
      JsonSchemaChecker.of(ConfigurationParser.class, "configuration.schema.json");

  private ConfigurationParser() {}

  /**
   * Reads a document.
   *
   * @param text the document's JSON text
   * @return the document
   * @throws InvalidDocumentException where it has faults
   */
  public static ConfigurationDocument parse(String text) {
    return parse(Json.parse(text));
  }

  /**
   * Reads a document.
   *
   * @param tree the document's JSON tree
   * @return the document
   * @throws InvalidDocumentException where it has faults
   */
  public static ConfigurationDocument parse(JsonNode tree) {
    refuseIfFaulty(SCHEMA.check(tree));
    ConfigurationDocument document = Json.read(tree, ConfigurationDocument.class);
    refuseIfFaulty(new CrossCheck(document).faults());
    return document;
  }

  private static void refuseIfFaulty(List<DocumentFault> faults) {
    if (!faults.isEmpty()) {
      throw new InvalidDocumentException("the configuration document", faults);
    }
  }

  /** Checks what refers from one part of a document to another. */
  private static final class CrossCheck {

    private final ConfigurationDocument document;
    private final List<DocumentFault> faults = new ArrayList<>();
    private final Set<String> tierNames = new HashSet<>();

    CrossCheck(ConfigurationDocument document) {
      this.document = document;
    }

    List<DocumentFault> faults() {
      checkTiers();
      checkAccounts();
      checkPools();
      checkRules();
      return faults;
    }

    private void checkTiers() {
      for (int i = 0; i < document.tiers().size(); i++) {
        TierSpec tier = document.tiers().get(i);
        unique(tierNames, tier.name(), "/tiers/" + i + "/name", "tier");
        if (tier.finishWithinMillis() < tier.startWithinMillis()) {
          fault("/tiers/" + i + "/finishWithinMillis", "must not be below startWithinMillis");
        }
      }
    }

    private void checkAccounts() {
      Set<String> names = new HashSet<>();
      Set<String> hashes = new HashSet<>();
      for (int i = 0; i < document.accounts().size(); i++) {
        AccountSpec account = document.accounts().get(i);
        String pointer = "/accounts/" + i;
        unique(names, account.name(), pointer + "/name", "account");
        knownTier(account.tier(), pointer + "/tier");
        for (int k = 0; k < account.keyHashes().size(); k++) {
          unique(hashes, account.keyHashes().get(k), pointer + "/keyHashes/" + k, "key hash");
        }
      }
    }

    private void checkPools() {
      Set<String> names = new HashSet<>();
      Set<String> models = new HashSet<>();
      Set<String> members = new HashSet<>();
      for (int i = 0; i < document.pools().size(); i++) {
        PoolSpec pool = document.pools().get(i);
        String pointer = "/pools/" + i;
        unique(names, pool.name(), pointer + "/name", "pool");
        checkModels(pool, pointer, models);
        for (int k = 0; k < pool.members().size(); k++) {
          String name = pool.members().get(k).name();
          unique(members, name, pointer + "/members/" + k + "/name", "member");
        }
      }
    }

    private void checkModels(PoolSpec pool, String pointer, Set<String> models) {
      boolean isModelPool = pool.kind() == PoolSpec.Kind.MODEL;
      if (isModelPool == pool.models().isEmpty()) {
        fault(
            pointer + "/models",
            isModelPool ? "a model pool must name its models" : "a service pool has no models");
      }
      for (int k = 0; k < pool.models().size(); k++) {
        unique(models, pool.models().get(k), pointer + "/models/" + k, "model");
      }
    }

    private void checkRules() {
      for (int i = 0; i < document.rules().size(); i++) {
        knownTier(document.rules().get(i).tier(), "/rules/" + i + "/tier");
      }
    }

    private void knownTier(@Nullable String name, String pointer) {
      if (name != null && !tierNames.contains(name)) {
        fault(pointer, "there is no tier named '" + name + "'");
      }
    }

    private void unique(Set<String> seen, String name, String pointer, String what) {
      if (!seen.add(name)) {
        fault(pointer, "the " + what + " '" + name + "' stands twice");
      }
    }

    private void fault(String pointer, String message) {
      faults.add(new DocumentFault(pointer, message));
    }
  }
}
