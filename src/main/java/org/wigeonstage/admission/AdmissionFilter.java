package org.wigeonstage.admission;

/**
 * One step in the admission of a request, which may refuse it, determine a property of it, or both.
 */
interface AdmissionFilter {

  /**
   * Checks the request, and adds what it finds to the context.
   *
   * @param context the context of the request
   * @throws org.wigeonstage.common.WigeonstageException if the request is refused
   */
  void apply(AdmissionContext context);
}
