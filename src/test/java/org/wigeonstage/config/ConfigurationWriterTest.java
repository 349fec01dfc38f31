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

  private static final int OPERATORS = 8;
  private static final int SUBMISSIONS_EACH = 125;
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
  void aLostRaceIsRefusedWithTheChangesThatCameBetween() {
    ConfigurationWriter writer = writer(new FlakyStore(1, 0));
    long base = writer.submit(change("first", 0)).version();
    writer.submit(change("second", base));
    ChangeResult lost = writer.submit(change("third", base));
    assertThat(lost.decision()).isEqualTo(Decision.REFUSED);
    assertThat(lost.between()).extracting(AcceptedChange::submissionId).containsExactly("second");
  }

  @Test
  void aSubmissionMadeTwiceTakesEffectOnce() {
    FlakyStore store = new FlakyStore(1, 0);
    ConfigurationWriter writer = writer(store);
    writer.submit(change("first", 0));
    assertThat(writer.submit(change("first", 0)).decision()).isEqualTo(Decision.ACCEPTED);
    assertThat(store.versions()).hasSize(1);
  }

  @Test
  void aFaultyDocumentIsRefusedWithAllItsFaults() {
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
  void aChangeOfMembersIsNotedInTheDocument() {
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
  void anOutageRefusesAtOnce() {
    FlakyStore store = new FlakyStore(1, 0);
    store.outage(true);
    assertThatThrownBy(() -> writer(store).submit(change("first", 0)))
        .isInstanceOf(StoreException.class);
    assertThat(store.versions()).isEmpty();
  }

  @Test
  void racingOperatorsEachLearnWhatBecameOfTheirChanges() throws Exception {
    FlakyStore store = new FlakyStore(20261204, FAULT_RATE);
    ExecutorService operators = Executors.newFixedThreadPool(OPERATORS);
    List<Future<List<Submission>>> futures = new ArrayList<>();
    for (int i = 0; i < OPERATORS; i++) {
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
    return IntStream.range(0, SUBMISSIONS_EACH)
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
        // The operator asks again under the same identifier.
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
    assertThat(submissions).hasSize(OPERATORS * SUBMISSIONS_EACH);
    assertThat(applied).doesNotHaveDuplicates();
    assertThat(applied).containsExactlyInAnyOrderElementsOf(accepted);
    assertThat(accepted).isNotEmpty();
  }
}
