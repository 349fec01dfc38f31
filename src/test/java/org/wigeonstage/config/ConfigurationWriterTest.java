package org.wigeonstage.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.wigeonstage.common.InvalidDocumentException;
import org.wigeonstage.common.Json;
import org.wigeonstage.config.ChangeResult.Decision;
import org.wigeonstage.store.StoreException;
import org.wigeonstage.store.StoredObject;

class ConfigurationWriterTest {

  private static final int OPERATOR_COUNT = 8;
  private static final int SUBMISSIONS_PER_OPERATOR = 125;

  /** The probability of each kind of fault in a call to the store. */
  private static final double FAULT_RATE = 0.1;

  private static JsonNode documentOf(String tier) {
    return Json.parse(
        "{\"tiers\":[{\"name\":\""
            + tier
            + "\",\"startWithinMillis\":1,\"finishWithinMillis\":2}],"
            + "\"accounts\":[],\"pools\":[],\"rules\":[]}");
  }

  private static ChangeRequest change(String id, long base) {
    return new ChangeRequest(id, "operator", "", base, documentOf(id));
  }

  private static ConfigurationWriter writer(FlakyStore store) {
    return new ConfigurationWriter(store, () -> Instant.EPOCH);
  }

  @Test
  void aChangeToAnOutdatedVersionIsRefusedWithTheChangesSince() {
    ConfigurationWriter writer = writer(new FlakyStore(1, 0));
    long base = writer.submit(change("first", 0)).version();
    writer.submit(change("second", base));
    ChangeResult outdated = writer.submit(change("third", base));
    assertThat(outdated.decision()).isEqualTo(Decision.REFUSED);
    assertThat(outdated.between())
        .extracting(AcceptedChange::submissionId)
        .containsExactly("second");
  }

  @Test
  void aChangeSubmittedTwiceTakesEffectOnce() {
    FlakyStore store = new FlakyStore(1, 0);
    ConfigurationWriter writer = writer(store);
    writer.submit(change("first", 0));
    assertThat(writer.submit(change("first", 0)).decision()).isEqualTo(Decision.ACCEPTED);
    assertThat(store.versions()).hasSize(1);
  }

  @Test
  void aFaultyDocumentIsRejectedWithAllItsFaults() {
    ObjectNode faulty = (ObjectNode) documentOf("tier");
    faulty.withArray("accounts").addObject().put("name", "a").put("tier", "none");
    ChangeRequest request = new ChangeRequest("id", "operator", "", 0, faulty);
    assertThatThrownBy(() -> writer(new FlakyStore(1, 0)).submit(request))
        .isInstanceOfSatisfying(
            InvalidDocumentException.class, e -> assertThat(e.faults()).hasSize(2));
  }

  private static JsonNode documentWithMembers(String... names) {
    ObjectNode document = (ObjectNode) documentOf("tier");
    ObjectNode pool = document.withArray("pools").addObject();
    pool.put("name", "portal").put("kind", "service").put("checksFencing", true);
    pool.putArray("models");
    for (String name : names) {
      pool.withArray("members").addObject().put("name", name).put("failureDomain", "fd");
    }
    return document;
  }

  private static JsonNode lastChange(FlakyStore store) {
    StoredObject last = store.versions().get(store.versions().size() - 1);
    return Json.read(last.value(), ConfigurationRecord.class)
        .document()
        .at("/pools/0/memberChange");
  }

  @Test
  void theLastChangeOfMembersIsRecordedInTheDocument() {
    FlakyStore store = new FlakyStore(1, 0);
    ConfigurationWriter writer = writer(store);
    writer.submit(new ChangeRequest("a", "", "", 0, documentWithMembers("x")));
    assertThat(lastChange(store).isMissingNode()).isTrue();
    writer.submit(new ChangeRequest("b", "", "", 1, documentWithMembers("x", "y")));
    assertThat(lastChange(store).toString())
        .isEqualTo("{\"atMillis\":0,\"previousMembers\":[\"x\"]}");
    writer.submit(new ChangeRequest("c", "", "", 2, documentWithMembers("x", "y")));
    assertThat(lastChange(store).at("/previousMembers/0").asText()).isEqualTo("x");
    writer.submit(new ChangeRequest("d", "", "", 3, documentWithMembers("z")));
    assertThat(lastChange(store).path("previousMembers")).isEmpty();
  }

  @Test
  void submittingDuringAnOutageFailsAndWritesNothing() {
    FlakyStore store = new FlakyStore(1, 0);
    store.setOutage(true);
    assertThatThrownBy(() -> writer(store).submit(change("first", 0)))
        .isInstanceOf(StoreException.class);
    assertThat(store.versions()).isEmpty();
  }

  /** Calls fail, and some writes take effect only after the operator got an error for them. */
  @Test
  void decisionsOfConcurrentOperatorsAgreeWithTheHistory() throws Exception {
    FlakyStore store = new FlakyStore(20261204, FAULT_RATE);
    ExecutorService operators = Executors.newFixedThreadPool(OPERATOR_COUNT);
    List<Future<List<Submission>>> futures = new ArrayList<>();
    for (int i = 0; i < OPERATOR_COUNT; i++) {
      int operator = i;
      futures.add(operators.submit(() -> submitAll(store, operator)));
    }
    List<Submission> submissions = new ArrayList<>();
    for (Future<List<Submission>> future : futures) {
      submissions.addAll(future.get());
    }
    operators.shutdown();
    checkAgainstHistory(store, submissions);
  }

  private record Submission(String id, Decision decision) {}

  private static List<Submission> submitAll(FlakyStore store, int operator) {
    ConfigurationWriter writer = writer(store);
    return IntStream.range(0, SUBMISSIONS_PER_OPERATOR)
        .mapToObj(i -> "op" + operator + "-" + i)
        .map(id -> new Submission(id, submitUntilDecided(store, writer, id)))
        .toList();
  }

  private static Decision submitUntilDecided(
      FlakyStore store, ConfigurationWriter writer, String id) {
    long base = Math.max(0, store.versions().size());
    while (true) {
      try {
        ChangeResult result = writer.submit(change(id, base));
        if (result.decision() != Decision.UNDECIDED) {
          return result.decision();
        }
      } catch (StoreException e) {
        // The operator submits the change again under the same identifier.
      }
    }
  }

  private static void checkAgainstHistory(FlakyStore store, List<Submission> submissions) {
    List<StoredObject> versions = store.versions();
    List<String> applied =
        versions.stream()
            .map(object -> Json.read(object.value(), ConfigurationRecord.class))
            .map(stored -> stored.history().get(stored.history().size() - 1).submissionId())
            .toList();
    List<String> accepted =
        submissions.stream()
            .filter(submission -> submission.decision() == Decision.ACCEPTED)
            .map(Submission::id)
            .toList();
    assertThat(submissions).hasSize(OPERATOR_COUNT * SUBMISSIONS_PER_OPERATOR);
    assertThat(applied).doesNotHaveDuplicates();
    assertThat(applied).containsExactlyInAnyOrderElementsOf(accepted);
    assertThat(accepted).isNotEmpty();
  }
}
