package org.wigeonstage.forward;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Decides whether an event may follow the events of a stream that were sent to the caller before.
 *
 * <p>A faulty server may send other bytes in correct framing, or send an event again. Callers would
 * take these for part of the response, so the stream is resumed at another server, or broken off.
 * The IDs of a stream increase; they need not be consecutive. Comments and reconnection times need
 * no ID; they are no events.
 */
public final class EventValidator {

  private static final String ID = "id";

  /** Fields that may be in an event beside its ID. */
  private static final Set<String> FIELDS = Set.of("data", "event", "retry");

  private final Predicate<String> isLeadingLine;

  /**
   * Creates a validator.
   *
   * @param isLeadingLine returns whether a line may precede the fields of an event
   */
  public EventValidator(Predicate<String> isLeadingLine) {
    this.isLeadingLine = isLeadingLine;
  }

  /**
   * Returns why an event can't be part of a stream.
   *
   * @param event the event
   * @param lastId the ID of the event before, or empty if there is none
   * @return the defect, or empty if the event is sound
   */
  public Optional<EventDefect> defectOf(EventSplitter.Event event, OptionalLong lastId) {
    int idCount = 0;
    boolean needsId = false;
    boolean isFirst = true;
    for (String line : EventSplitter.lines(event.bytes())) {
      if (hasControlCharacter(line)) {
        return Optional.of(EventDefect.UNKNOWN_LINE);
      }
      if (line.isEmpty() || line.startsWith(":")) {
        continue;
      }
      int colon = line.indexOf(':');
      String field = line.substring(0, colon < 0 ? line.length() : colon);
      boolean isLeading = isFirst && isLeadingLine.test(line);
      if (!field.equals(ID) && !FIELDS.contains(field) && !isLeading) {
        return Optional.of(EventDefect.UNKNOWN_LINE);
      }
      idCount += field.equals(ID) ? 1 : 0;
      needsId |= !field.equals("retry");
      isFirst = false;
    }
    if (idCount > 1) {
      return Optional.of(EventDefect.SEVERAL_IDS);
    }
    return needsId ? defectOf(event.id(), lastId) : Optional.empty();
  }

  private static Optional<EventDefect> defectOf(OptionalLong id, OptionalLong lastId) {
    if (id.isEmpty()) {
      return Optional.of(EventDefect.NO_ID);
    }
    boolean isIncreasing = lastId.isEmpty() || id.getAsLong() > lastId.getAsLong();
    return isIncreasing ? Optional.empty() : Optional.of(EventDefect.ID_NOT_INCREASING);
  }

  private static boolean hasControlCharacter(String line) {
    for (int i = 0; i < line.length(); i++) {
      if (line.charAt(i) < ' ' && line.charAt(i) != '\t') {
        return true;
      }
    }
    return false;
  }
}
