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
 * Writes configuration documents to the platform: whole, or not at all.
 *
 * <p>A write whose answer is lost is repeated with the same expected version. The platform carries
 * out at most one of the attempts, and the history then tells whether it was this submission's.
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
   * Submits a change. It may be submitted again under the same identifier, to learn what became of
   * it.
   *
   * @param request the change
   * @return whether it has taken effect
   * @throws org.wigeonstage.common.InvalidDocumentException where the document has faults; nothing
   *     has taken effect
   * @throws StoreException where the platform can't be reached; nothing has taken effect through
   *     this call
   */
  public ChangeResult submit(ChangeRequest request) {
    ConfigurationParser.parse(request.document());
    boolean maybeWritten = false;
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      try {
        return submitOnce(request);
      } catch (StoreException e) {
        maybeWritten |= e.code() == ErrorCode.WRITE_UNDECIDED;
        boolean retry = maybeWritten || e.code() == ErrorCode.VERSION_CONFLICT;
        if (!retry) {
          throw e;
        }
      }
    }
    return new ChangeResult(ChangeResult.Decision.UNDECIDED, request.baseVersion(), List.of());
  }

  /**
   * Tells whether a submission is decided by what the platform holds, whatever its document.
   *
   * @param submissionId the submission
   * @param baseVersion the version that it was built on
   * @return accepted where it took effect before, refused where another change came first, or empty
   * @throws StoreException where the platform can't be reached
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
            Json.write(extend(recordOf(stored), request)));
    return new ChangeResult(ChangeResult.Decision.ACCEPTED, written, List.of());
  }

  private static ConfigurationRecord recordOf(Optional<StoredObject> stored) {
    return stored
        .map(object -> Json.read(object.value(), ConfigurationRecord.class))
        .orElse(new ConfigurationRecord(NullNode.getInstance(), List.of()));
  }

  private ConfigurationRecord extend(ConfigurationRecord current, ChangeRequest request) {
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
        new MemberChanges(clock.millis()).stamp(current.document(), request.document());
    return new ConfigurationRecord(document, history.subList(excess, history.size()));
  }

  private static List<AcceptedChange> changesSince(ConfigurationRecord current, long version) {
    return current.history().stream().filter(change -> change.baseVersion() >= version).toList();
  }
}
