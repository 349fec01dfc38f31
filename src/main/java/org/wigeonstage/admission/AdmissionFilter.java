package org.wigeonstage.admission;

/** One step of admission. */
interface AdmissionFilter {

  /**
   * Adds to the context or refuses the request.
   *
   * @param context the request so far
   * @throws org.wigeonstage.common.WigeonstageException where the request is refused
   */
  void apply(AdmissionContext context);
}
