package org.wigeonstage.capacity;

/**
 * A least-squares fit of a value to a linear function of a few inputs, with forgetting of old
 * samples. A prior counts as a fixed number of samples, so that coefficients on which the samples
 * say nothing keep their prior values; for example, a service without prompts has no prefill time.
 */
final class LinearFit {

  /** How many samples the prior is worth. */
  private static final double PRIOR_SAMPLES = 4;

  private final double[] scales;
  private final double[][] products;
  private final double[] targets;
  private double[] prior;
  private double[] coefficients;

  /**
   * Creates a fit without samples.
   *
   * @param prior the coefficients that are assumed without samples
   * @param scales the usual size of each input, at which the prior of its coefficient counts
   */
  LinearFit(double[] prior, double[] scales) {
    this.prior = prior.clone();
    this.coefficients = prior.clone();
    this.scales = scales.clone();
    this.products = new double[prior.length][prior.length];
    this.targets = new double[prior.length];
  }

  void updatePrior(double[] newPrior) {
    prior = newPrior.clone();
  }

  void add(double value, double... inputs) {
    for (int i = 0; i < inputs.length; i++) {
      for (int j = 0; j < inputs.length; j++) {
        products[i][j] += inputs[i] * inputs[j];
      }
      targets[i] += inputs[i] * value;
    }
  }

  /** Multiplies the weight of all samples so far. */
  void retain(double share) {
    for (int i = 0; i < targets.length; i++) {
      targets[i] *= share;
      for (int j = 0; j < targets.length; j++) {
        products[i][j] *= share;
      }
    }
  }

  /** Computes the coefficients from the samples; negative ones, which are noise, count as zero. */
  void solve() {
    int size = targets.length;
    double[][] rows = new double[size][size + 1];
    for (int i = 0; i < size; i++) {
      double priorWeight = PRIOR_SAMPLES * scales[i] * scales[i];
      System.arraycopy(products[i], 0, rows[i], 0, size);
      rows[i][i] += priorWeight;
      rows[i][size] = targets[i] + priorWeight * prior[i];
    }
    eliminate(rows);
    double[] solved = new double[size];
    for (int i = 0; i < size; i++) {
      solved[i] = Math.max(0, rows[i][size] / rows[i][i]);
    }
    coefficients = solved;
  }

  /** Makes the matrix diagonal. It is positive definite due to the prior, so no pivot is zero. */
  private static void eliminate(double[][] rows) {
    for (int pivot = 0; pivot < rows.length; pivot++) {
      for (int i = 0; i < rows.length; i++) {
        double factor = i == pivot ? 0 : rows[i][pivot] / rows[pivot][pivot];
        for (int j = pivot; j <= rows.length; j++) {
          rows[i][j] -= factor * rows[pivot][j];
        }
      }
    }
  }

  double[] coefficients() {
    return coefficients;
  }

  double valueAt(double... inputs) {
    double value = 0;
    for (int i = 0; i < inputs.length; i++) {
      value += coefficients[i] * inputs[i];
    }
    return value;
  }
}
