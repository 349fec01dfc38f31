package org.wigeonstage.crash;

import java.util.Set;

/** Is told when requests begin or cease to be held. */
public interface HoldListener {

  /**
   * Called when requests begin to be held, or are held for further crashes.
   *
   * @param hold the hold
   */
  void held(PartHold hold);

  /**
   * Called when requests are no longer held.
   *
   * @param parts the parts of the hold
   */
  void released(Set<String> parts);

  /** Called after all calls that follow from one change of the evidence. */
  default void updated() {}
}
