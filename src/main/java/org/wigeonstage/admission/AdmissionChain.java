package org.wigeonstage.admission;

import java.util.List;

/** All steps of admission, in order. Safe for use by several threads. */
public final class AdmissionChain {

  private final List<AdmissionFilter> filters;

  private AdmissionChain(List<AdmissionFilter> filters) {
    this.filters = filters;
  }

  /**
   * Returns the chain of an entry.
   *
   * @param limits the accounts' limits
   * @param estimator the estimates of answers' lengths
   * @return the chain
   */
  public static AdmissionChain of(AccountRateLimiter limits, OutputLengthEstimator estimator) {
    return new AdmissionChain(
        List.of(
            new AuthenticationFilter(),
            new TargetFilter(),
            new ClassificationFilter(),
            new CostFilter(estimator),
            new LimitFilter(limits)));
  }

  /**
   * Admits or refuses a request.
   *
   * @param context the request; on return it can be turned into a specification
   * @throws org.wigeonstage.common.WigeonstageException where the request is refused
   */
  public void admit(AdmissionContext context) {
    filters.forEach(filter -> filter.apply(context));
  }
}
