package org.wigeonstage.admission;

import java.util.List;

/**
 * The admission filters in the order in which they are applied.
 *
 * <p>Thread-safe.
 */
public final class AdmissionChain {

  private final List<AdmissionFilter> filters;

  private AdmissionChain(List<AdmissionFilter> filters) {
    this.filters = filters;
  }

  /**
   * Creates the chain of an entry.
   *
   * @param rateLimiter the rate limiter of the client accounts
   * @param estimator estimates the length of responses
   * @return the chain
   */
  public static AdmissionChain of(AccountRateLimiter rateLimiter, OutputLengthEstimator estimator) {
    return new AdmissionChain(
        List.of(
            new AuthenticationFilter(),
            new TargetFilter(),
            new RuleAndKeyFilter(),
            new CostFilter(estimator),
            new RateLimitFilter(rateLimiter)));
  }

  /**
   * Applies all filters to a request.
   *
   * @param context the context of the request; on return it is complete
   * @throws org.wigeonstage.common.WigeonstageException if the request is refused
   */
  public void admit(AdmissionContext context) {
    filters.forEach(filter -> filter.apply(context));
  }
}
