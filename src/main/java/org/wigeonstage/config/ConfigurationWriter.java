package org.wigeonstage.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.Json;
import org.wigeonstage.store.ObjectStore;
import org.wigeonstage.store.StoreException;
import org.wigeonstage.store.StoredObject;

/**
 * Writes configuration documents to the platform atomically.
 *
 * <p>If the reply to a write is lost, it is unknown whether the write took effect. The writer reads
 * the stored object again: if its history contains the submission, the change is accepted; if its
 * version is another one, the change is refused; otherwise the write is retried, and after three
 * attempts the change is undecided. All attempts expect the same version, so the platform carries
 * out at most one of them.
 */
public final class ConfigurationWriter {

  private static final int MAX_ATTEMPTS = 3;

  private final ObjectStore store;
  private final InstantSource clock;

  /**
   * Creates a writer.
   *
   * @param store the platform's object API
   * @param clock the wall clock
   */
  public ConfigurationWriter(ObjectStore store, InstantSource clock) {
    this.store = store;
    this.clock = clock;
  }

  /**
   * Submits a change. Submitting it again under the same identifier returns the decision about it,
   * and changes nothing if it has already taken effect.
   *
   * @param request the change
   * @return the decision
   * @throws org.wigeonstage.common.InvalidDocumentException if the document has faults; the change
   *     has not taken effect
   * @throws StoreException if the platform is unreachable; this call has changed nothing
   */
  public ChangeResult submit(ChangeRequest request) {
    ConfigurationParser.parse(request.document());
    boolean mayBeWritten = false;
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      try {
        return submitOnce(request);
      } catch (StoreException e) {
        mayBeWritten |= e.code() == ErrorCode.WRITE_UNDECIDED;
        boolean retry = mayBeWritten || e.code() == ErrorCode.VERSION_CONFLICT;
        if (!retry) {
          throw e;
        }
      }
    }
    return new ChangeResult(ChangeResult.Decision.UNDECIDED, request.baseVersion(), List.of());
  }

  /**
   * Returns the decision about a submission that follows from the stored history, if any.
   *
   * @param submissionId the identifier of the submission
   * @param baseVersion the version that the submission is based on
   * @return accepted if it has taken effect, refused if another change came first, or else empty
   * @throws StoreException if the platform is unreachable
   */
  public Optional<ChangeResult> findDecision(String submissionId, long baseVersion) {
    return findDecision(submissionId, baseVersion, read());
  }

  private Optional<StoredObject> read() {
    return store.get(ConfigurationRecord.KIND, ConfigurationRecord.NAME);
  }

  private static Optional<ChangeResult> findDecision(
      String submissionId, long baseVersion, Optional<StoredObject> stored) {
    long version = stored.map(StoredObject::version).orElse(0L);
    ConfigurationRecord current = recordOf(stored);
    if (current.contains(submissionId)) {
      return Optional.of(new ChangeResult(ChangeResult.Decision.ACCEPTED, version, List.of()));
    }
    if (version != baseVersion) {
      return Optional.of(
          new ChangeResult(
              ChangeResult.Decision.REFUSED, version, changesSince(current, baseVersion)));
    }
    return Optional.empty();
  }

  private ChangeResult submitOnce(ChangeRequest request) {
    Optional<StoredObject> stored = read();
    Optional<ChangeResult> decision =
        findDecision(request.submissionId(), request.baseVersion(), stored);
    if (decision.isPresent()) {
      return decision.get();
    }
    long written =
        store.put(
            ConfigurationRecord.KIND,
            ConfigurationRecord.NAME,
            request.baseVersion(),
            Json.write(appendChange(recordOf(stored), request)));
    return new ChangeResult(ChangeResult.Decision.ACCEPTED, written, List.of());
  }

  private static ConfigurationRecord recordOf(Optional<StoredObject> stored) {
    return stored
        .map(object -> Json.read(object.value(), ConfigurationRecord.class))
        .orElse(new ConfigurationRecord(NullNode.getInstance(), List.of()));
  }

  private ConfigurationRecord appendChange(ConfigurationRecord current, ChangeRequest request) {
    List<AcceptedChange> history = new ArrayList<>(current.history());
    history.add(
        new AcceptedChange(
            request.submissionId(),
            request.author(),
            request.summary(),
            clock.millis(),
            request.baseVersion(),
            DocumentDiff.between(current.document(), request.document())));
    int excess = Math.max(0, history.size() - ConfigurationRecord.MAX_HISTORY);
    JsonNode document =
        new MemberChangeRecorder(clock.millis()).recordIn(current.document(), request.document());
    return new ConfigurationRecord(document, history.subList(excess, history.size()));
  }

  private static List<AcceptedChange> changesSince(ConfigurationRecord current, long version) {
    return current.history().stream().filter(change -> change.baseVersion() >= version).toList();
  }
}
