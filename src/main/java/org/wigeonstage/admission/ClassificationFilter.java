package org.wigeonstage.admission;

import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.request.IdempotencyKey;

/** Applies the operators' rules: the tier, and whether the request is non-idempotent. */
final class ClassificationFilter implements AdmissionFilter {

  @Override
  public void apply(AdmissionContext context) {
    context.rule(
        context
            .configuration()
            .ruleFor(
                context.account().name(),
                context.request().call().method(),
                context.request().path(),
                context.model()));
    String key = context.request().idempotencyKey();
    if (key != null) {
      context.key(keyOf(context, key));
    }
  }

  private static IdempotencyKey keyOf(AdmissionContext context, String key) {
    try {
      return IdempotencyKey.of(context.account().name(), key, context.call());
    } catch (IllegalArgumentException e) {
      throw new WigeonstageException(
          ErrorCode.BAD_REQUEST, "Idempotency-Key must have 1 to 128 characters", e);
    }
  }
}
