package org.wigeonstage.admission;

import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.request.IdempotencyKey;

/**
 * Finds the configured rule for the request, which determines its tier and whether it is
 * non-idempotent, and reads its idempotency key.
 */
final class RuleAndKeyFilter implements AdmissionFilter {

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
      context.idempotencyKey(createKey(context, key));
    }
  }

  private static IdempotencyKey createKey(AdmissionContext context, String value) {
    try {
      return IdempotencyKey.of(context.account().name(), value, context.call());
    } catch (IllegalArgumentException e) {
      throw new WigeonstageException(
          ErrorCode.BAD_REQUEST, "Idempotency-Key must have 1 to 128 characters", e);
    }
  }
}
