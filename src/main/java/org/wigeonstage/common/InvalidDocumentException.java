package org.wigeonstage.common;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown if a JSON document has faults; no part of it has taken effect. */
public final class InvalidDocumentException extends WigeonstageException {

  private static final long serialVersionUID = 1L;

  private final transient List<DocumentFault> faults;

  /**
   * Creates an exception.
   *
   * @param document the kind of document, for the message
   * @param faults the faults; at least one
   */
  public InvalidDocumentException(String document, List<DocumentFault> faults) {
    super(
        ErrorCode.INVALID_CONFIGURATION,
        document
            + " has "
            + faults.size()
            + (faults.size() == 1 ? " fault: " : " faults: ")
            + faults.stream().map(DocumentFault::toString).collect(Collectors.joining("; ")));
    this.faults = List.copyOf(faults);
  }

  /**
   * Returns the faults.
   *
   * @return at least one fault
   */
  public List<DocumentFault> faults() {
    return faults;
  }
}
