package org.wigeonstage.placement;

/** What became of the requests of one kind. */
final class Tally {
  int asked;
  int inTime;
  int late;
  int refused;
  int rejections;
  int lateRejections;

  int asked() {
    return asked;
  }

  int inTime() {
    return inTime;
  }

  int late() {
    return late;
  }

  int rejections() {
    return rejections;
  }

  /** Returns the rejections that came later than an eighth of the objective. */
  int lateRejections() {
    return lateRejections;
  }

  int served() {
    return inTime + late;
  }

  double servedShare() {
    return (double) served() / Math.max(1, asked);
  }

  @Override
  public String toString() {
    return "asked %d, in time %d, late %d, refused %d".formatted(asked, inTime, late, refused);
  }
}
