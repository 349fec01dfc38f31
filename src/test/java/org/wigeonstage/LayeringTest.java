package org.wigeonstage;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Checks the dependencies between packages. */
@AnalyzeClasses(packages = "org.wigeonstage", importOptions = ImportOption.DoNotIncludeTests.class)
class LayeringTest {

  /**
   * Packages with the decision logic. They get the time and perform I/O through interfaces, so that
   * tests can simulate both.
   */
  private static final String[] DECISION_PACKAGES = {
    "org.wigeonstage.request..",
    "org.wigeonstage.handover..",
    "org.wigeonstage.queue..",
    "org.wigeonstage.ledger..",
    "org.wigeonstage.offer..",
    "org.wigeonstage.routing..",
    "org.wigeonstage.routes..",
    "org.wigeonstage.forward..",
    "org.wigeonstage.capacity..",
    "org.wigeonstage.placement..",
    "org.wigeonstage.quota..",
    "org.wigeonstage.crash..",
    "org.wigeonstage.peering..",
    "org.wigeonstage.rollout.."
  };

  @ArchTest
  static final ArchRule decisionPackagesPerformNoIo =
      noClasses()
          .that()
          .resideInAnyPackage(DECISION_PACKAGES)
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "org.glassfish.grizzly..",
              "java.net..",
              "java.nio.channels..",
              "java.util.concurrent.locks..",
              "org.wigeonstage.http..",
              "org.wigeonstage.wire..",
              "org.wigeonstage.store..",
              "org.wigeonstage.gateway..",
              "org.wigeonstage.platform..");

  @ArchTest
  static final ArchRule decisionPackagesUseNoThreadsOrSystemClock =
      noClasses()
          .that()
          .resideInAnyPackage(DECISION_PACKAGES)
          .should()
          .dependOnClassesThat()
          .haveFullyQualifiedName("java.lang.Thread")
          .orShould()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis");

  @ArchTest
  static final ArchRule noClassStartsProcesses =
      noClasses().should().dependOnClassesThat().haveFullyQualifiedName("java.lang.ProcessBuilder");

  @ArchTest
  static final ArchRule packagesAreFreeOfCycles =
      slices().matching("org.wigeonstage.(*)..").should().beFreeOfCycles();
}
