package org.wigeonstage.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.wigeonstage.forward.EventSplitter;
import org.wigeonstage.forward.EventValidator;

/** Guards against sound streams that are taken for invalid because of where their reads end. */
class SoundStreamTest {

  private static final String SEED = "47";
  private static final long MAX_ID_STEP = 1_000_000_000_000L;
  private static final int MAX_SMALL_READ_BYTES = 40;
  private static final String FIELD_AND_LINE_ENDS = "id: 1\r\ndata: \r\n\r\n";

  private final EventValidator validator =
      new EventValidator(new PlatformHeaderCodec()::isRepeatedField);

  /**
   * An event without its ID, and what precedes it.
   *
   * @param skipped blank lines and blocks that carry no event
   * @param leadingLine the first line, or empty if there is none
   * @param idStep the difference of its ID to that of the event before
   * @param idField the line with its ID, up to the ID
   * @param fields the other lines
   * @param idPosition the position of the ID among them
   * @param lineEnd the end of each of its lines
   */
  private record Draft(
      String skipped,
      String leadingLine,
      long idStep,
      String idField,
      List<String> fields,
      int idPosition,
      String lineEnd) {

    String text(long id) {
      List<String> lines = new ArrayList<>(fields);
      lines.add(Math.min(idPosition, lines.size()), idField + id);
      String first = leadingLine.isEmpty() ? "" : leadingLine + lineEnd;
      return first
          + lines.stream().map(line -> line + lineEnd).collect(Collectors.joining())
          + lineEnd;
    }
  }

  private record SoundStream(byte[] sent, byte[] events, long idBefore, boolean isResumed) {

    static SoundStream of(List<Draft> drafts, long idBefore, boolean isResumed) {
      StringBuilder sent = new StringBuilder();
      StringBuilder events = new StringBuilder();
      long id = idBefore;
      for (Draft draft : drafts) {
        id += draft.idStep();
        sent.append(draft.skipped()).append(draft.text(id));
        events.append(draft.text(id));
      }
      return new SoundStream(bytes(sent), bytes(events), idBefore, isResumed);
    }

    private static byte[] bytes(StringBuilder text) {
      return text.toString().getBytes(StandardCharsets.UTF_8);
    }
  }

  @Provide
  Arbitrary<SoundStream> streams() {
    return Combinators.combine(
            drafts().list().ofMinSize(1).ofMaxSize(12),
            Arbitraries.longs().between(0, MAX_ID_STEP),
            Arbitraries.of(true, false))
        .as(SoundStream::of);
  }

  private static Arbitrary<Draft> drafts() {
    return Combinators.combine(
            Arbitraries.of(
                "",
                "",
                "\n",
                "\r\n",
                ": note\n\n",
                ":\r\n\r\n",
                "retry: 5\n\n",
                "\n\n: a\n: b\n\n"),
            Arbitraries.of("", "", "weight-versions: 12", "weight-versions:3", ": note"),
            Arbitraries.oneOf(Arbitraries.just(1L), Arbitraries.longs().between(1, MAX_ID_STEP)),
            Arbitraries.of("id: ", "id:"),
            fields().list().ofMinSize(1).ofMaxSize(6),
            Arbitraries.integers().between(0, 6),
            Arbitraries.of("\n", "\r\n"))
        .as(Draft::new);
  }

  private static Arbitrary<String> fields() {
    Arbitrary<String> text =
        Arbitraries.of(
                "a",
                "{\"b\": 1}",
                " ",
                "\t",
                ":",
                "id: 7",
                "\u007f",
                "é",
                "漢",
                "\u0085",
                "\u2028",
                "😀")
            .list()
            .ofMaxSize(20)
            .map(parts -> String.join("", parts));
    return Combinators.combine(
            Arbitraries.of("data: ", "data:", "event: ", "data: id: ", "data: weight-versions: "),
            text)
        .as(String::concat);
  }

  @Property(tries = 500, seed = SEED, edgeCases = EdgeCasesMode.NONE)
  void passesWholeWhateverTheReads(
      @ForAll("streams") SoundStream stream, @ForAll("readSizes") List<Integer> readSizes) {
    assertThat(passedOn(stream, readSizes)).isEqualTo(stream.events());
  }

  @Provide
  Arbitrary<List<Integer>> readSizes() {
    return Arbitraries.integers().between(1, MAX_SMALL_READ_BYTES).list().ofMaxSize(60);
  }

  @Property(tries = 50, seed = SEED, edgeCases = EdgeCasesMode.NONE)
  void passesWholeInTwoReadsSplitAtEachByte(@ForAll("streams") SoundStream stream) {
    for (int split = 1; split < stream.sent().length; split++) {
      assertThat(passedOn(stream, List.of(split)))
          .as("split before byte %s", split)
          .isEqualTo(stream.events());
    }
  }

  @Property(tries = 50, seed = SEED, edgeCases = EdgeCasesMode.NONE)
  void passesWholeByteByByte(@ForAll("streams") SoundStream stream) {
    List<Integer> singleBytes = Collections.nCopies(stream.sent().length, 1);
    assertThat(passedOn(stream, singleBytes)).isEqualTo(stream.events());
  }

  @Property(tries = 10, seed = SEED, edgeCases = EdgeCasesMode.NONE)
  void passesEventsUpToTheLimit(
      @ForAll("readSizes") List<Integer> readSizes, @ForAll("longReads") int longRead) {
    String longData = "x".repeat(EventSplitter.MAX_EVENT_BYTES - FIELD_AND_LINE_ENDS.length());
    Draft longest = new Draft("", "", 1, "id: ", List.of("data: " + longData), 0, "\r\n");
    Draft next = new Draft("", "", 1, "id: ", List.of("data: y"), 0, "\n");
    SoundStream stream = SoundStream.of(List.of(longest, next, longest), 0, false);
    List<Integer> sizes = new ArrayList<>(readSizes);
    sizes.addAll(Collections.nCopies(stream.sent().length / longRead, longRead));
    assertThat(passedOn(stream, sizes)).isEqualTo(stream.events());
  }

  @Provide
  Arbitrary<Integer> longReads() {
    return Arbitraries.integers().between(1000, 64 * 1024);
  }

  /** Returns the events that pass of a stream that is read in parts of the given sizes. */
  private byte[] passedOn(SoundStream stream, List<Integer> readSizes) {
    EventSplitter splitter = new EventSplitter();
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    OptionalLong lastId =
        stream.isResumed() ? OptionalLong.of(stream.idBefore()) : OptionalLong.empty();
    int position = 0;
    for (int read = 0; position < stream.sent().length; read++) {
      int size = read < readSizes.size() ? readSizes.get(read) : stream.sent().length;
      int end = Math.min(stream.sent().length, position + size);
      for (EventSplitter.Event event :
          splitter.feed(Arrays.copyOfRange(stream.sent(), position, end))) {
        assertThat(validator.defectOf(event, lastId)).isEmpty();
        if (event.id().isPresent()) {
          lastId = event.id();
          output.writeBytes(event.bytes());
        }
      }
      assertThat(splitter.isTooLong()).isFalse();
      position = end;
    }
    assertThat(splitter.isInsideEvent()).isFalse();
    return output.toByteArray();
  }
}
