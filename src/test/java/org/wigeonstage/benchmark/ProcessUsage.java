package org.wigeonstage.benchmark;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a process has used since its start, as reported by {@code /proc}.
 *
 * @param threads the usage by name of the thread; threads with numbered names are summed up
 * @param reads the number of system calls that read
 * @param writes the number of system calls that write
 */
record ProcessUsage(Map<String, ThreadUsage> threads, long reads, long writes) {

  /**
   * What threads of one name have used.
   *
   * @param cpuMillis the processor time
   * @param wakeUps how often they have continued after they had waited
   */
  record ThreadUsage(double cpuMillis, long wakeUps) {

    ThreadUsage plus(ThreadUsage other) {
      return new ThreadUsage(cpuMillis + other.cpuMillis, wakeUps + other.wakeUps);
    }

    ThreadUsage minus(ThreadUsage other) {
      return new ThreadUsage(cpuMillis - other.cpuMillis, wakeUps - other.wakeUps);
    }

    @Override
    public String toString() {
      return String.format("%.0f ms of processor time, %d wake-ups", cpuMillis, wakeUps);
    }
  }

  private static final ThreadUsage NONE = new ThreadUsage(0, 0);

  static ProcessUsage of(long pid) throws IOException {
    Path process = Path.of("/proc", String.valueOf(pid));
    Map<String, ThreadUsage> threads = new TreeMap<>();
    try (DirectoryStream<Path> tasks = Files.newDirectoryStream(process.resolve("task"))) {
      for (Path task : tasks) {
        try {
          String name = Files.readString(task.resolve("comm")).strip().replaceAll("[#0-9]+", "");
          String[] schedule = Files.readString(task.resolve("schedstat")).split(" ");
          threads.merge(
              name,
              new ThreadUsage(
                  Long.parseLong(schedule[0]) / 1e6,
                  value(task.resolve("status"), "voluntary_ctxt_switches")),
              ThreadUsage::plus);
        } catch (NoSuchFileException e) {
          continue; // the thread has ended
        }
      }
    }
    Path io = process.resolve("io");
    return new ProcessUsage(threads, value(io, "syscr"), value(io, "syscw"));
  }

  private static long value(Path file, String name) throws IOException {
    return Files.readAllLines(file).stream()
        .filter(line -> line.startsWith(name + ":"))
        .mapToLong(line -> Long.parseLong(line.substring(name.length() + 1).strip()))
        .sum();
  }

  ThreadUsage total() {
    return threads.values().stream().reduce(NONE, ThreadUsage::plus);
  }

  /** Prints what was used each second since an earlier reading. */
  void printSince(ProcessUsage before, double seconds) {
    threads.forEach(
        (name, usage) ->
            print(name, usage.minus(before.threads.getOrDefault(name, NONE)), seconds));
    print("total", total().minus(before.total()), seconds);
    System.out.printf(
        "reads %.0f/s, writes %.0f/s%n",
        (reads - before.reads) / seconds, (writes - before.writes) / seconds);
  }

  private static void print(String name, ThreadUsage usage, double seconds) {
    if (usage.cpuMillis / seconds >= 0.05) {
      System.out.printf(
          "%-16s %7.2f ms/s, %6.0f wake-ups/s%n",
          name, usage.cpuMillis / seconds, usage.wakeUps / seconds);
    }
  }
}
