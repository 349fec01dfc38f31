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

/** Parses configuration documents, and rejects invalid ones with a list of all their faults. */
public final class ConfigurationParser {

  private static final JsonSchemaChecker SCHEMA =
      JsonSchemaChecker.of(ConfigurationParser.class, "configuration.schema.json");

  private ConfigurationParser() {}

  /**
   * Parses a document.
   *
   * @param text the document's JSON text
   * @return the document
   * @throws InvalidDocumentException if the document has faults
   */
  public static ConfigurationDocument parse(String text) {
    return parse(Json.parse(text));
  }

  /**
   * Parses a document.
   *
   * @param tree the document's JSON tree
   * @return the document
   * @throws InvalidDocumentException if the document has faults
   */
  public static ConfigurationDocument parse(JsonNode tree) {
    rejectIfFaulty(SCHEMA.check(tree));
    ConfigurationDocument document = Json.read(tree, ConfigurationDocument.class);
    rejectIfFaulty(new ReferenceChecker(document).faults());
    return document;
  }

  private static void rejectIfFaulty(List<DocumentFault> faults) {
    if (!faults.isEmpty()) {
      throw new InvalidDocumentException("the configuration document", faults);
    }
  }

  /** Checks references between the parts of a document, and the uniqueness of names. */
  private static final class ReferenceChecker {

    private final ConfigurationDocument document;
    private final List<DocumentFault> faults = new ArrayList<>();
    private final Set<String> tierNames = new HashSet<>();

    ReferenceChecker(ConfigurationDocument document) {
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
        requireUnique(tierNames, tier.name(), "/tiers/" + i + "/name", "tier");
        if (tier.finishWithinMillis() < tier.startWithinMillis()) {
          addFault("/tiers/" + i + "/finishWithinMillis", "must not be below startWithinMillis");
        }
      }
    }

    private void checkAccounts() {
      Set<String> names = new HashSet<>();
      Set<String> hashes = new HashSet<>();
      for (int i = 0; i < document.accounts().size(); i++) {
        AccountSpec account = document.accounts().get(i);
        String pointer = "/accounts/" + i;
        requireUnique(names, account.name(), pointer + "/name", "account");
        requireKnownTier(account.tier(), pointer + "/tier");
        for (int k = 0; k < account.keyHashes().size(); k++) {
          requireUnique(
              hashes, account.keyHashes().get(k), pointer + "/keyHashes/" + k, "key hash");
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
        requireUnique(names, pool.name(), pointer + "/name", "pool");
        checkModels(pool, pointer, models);
        for (int k = 0; k < pool.members().size(); k++) {
          String name = pool.members().get(k).name();
          requireUnique(members, name, pointer + "/members/" + k + "/name", "member");
        }
      }
    }

    private void checkModels(PoolSpec pool, String pointer, Set<String> models) {
      boolean isModelPool = pool.kind() == PoolSpec.Kind.MODEL;
      if (isModelPool == pool.models().isEmpty()) {
        addFault(
            pointer + "/models",
            isModelPool
                ? "a model pool must name its models"
                : "a service pool must not name models");
      }
      for (int k = 0; k < pool.models().size(); k++) {
        requireUnique(models, pool.models().get(k), pointer + "/models/" + k, "model");
      }
    }

    private void checkRules() {
      for (int i = 0; i < document.rules().size(); i++) {
        requireKnownTier(document.rules().get(i).tier(), "/rules/" + i + "/tier");
      }
    }

    private void requireKnownTier(@Nullable String name, String pointer) {
      if (name != null && !tierNames.contains(name)) {
        addFault(pointer, "there is no tier named '" + name + "'");
      }
    }

    private void requireUnique(Set<String> seen, String name, String pointer, String what) {
      if (!seen.add(name)) {
        addFault(pointer, "the " + what + " '" + name + "' is defined twice");
      }
    }

    private void addFault(String pointer, String message) {
      faults.add(new DocumentFault(pointer, message));
    }
  }
}
