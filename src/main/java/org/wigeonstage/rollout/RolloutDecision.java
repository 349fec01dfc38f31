package org.wigeonstage.rollout;

import java.util.Optional;

/**
 * A decision of the elected gateway.
 *
 * @param step the step that all gateways apply
 * @param write the state to be written to the store now, if any
 * @param reason what the decision is based on
 */
public record RolloutDecision(RolloutStep step, Optional<RolloutState> write, String reason) {}
