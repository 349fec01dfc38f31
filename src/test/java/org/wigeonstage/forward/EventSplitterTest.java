package org.wigeonstage.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.Chars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EventSplitterTest {

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void buffersAnEventUntilItIsComplete() {
    EventSplitter splitter = new EventSplitter();
    assertThat(splitter.feed(bytes("id: 7\ndata: ab"))).isEmpty();
    List<EventSplitter.Event> events = splitter.feed(bytes("c\n\nid: 8\n"));
    assertThat(events).hasSize(1);
    assertThat(events.get(0).id()).hasValue(7);
    assertThat(new String(events.get(0).bytes(), StandardCharsets.UTF_8))
        .isEqualTo("id: 7\ndata: abc\n\n");
    assertThat(new String(splitter.takeRemainder(), StandardCharsets.UTF_8)).isEqualTo("id: 8\n");
    assertThat(splitter.takeRemainder()).isEmpty();
  }

  @Test
  void acceptsLinesThatEndWithCarriageReturnAndLineFeed() {
    List<EventSplitter.Event> events =
        new EventSplitter().feed(bytes("id:3\r\ndata: x\r\n\r\ndata: y\n\n"));
    assertThat(events).hasSize(2);
    assertThat(events.get(0).id()).hasValue(3);
    assertThat(events.get(1).id()).isEmpty();
  }

  /** A server that never ends an event must not exhaust the memory of the process. */
  @Test
  void reportsAnEventThatIsTooLong() {
    EventSplitter splitter = new EventSplitter();
    byte[] chunk = new byte[8192];
    int chunks = 0;
    while (!splitter.isTooLong() && chunks < 10_000) {
      splitter.feed(chunk);
      chunks++;
    }
    assertThat(chunks * chunk.length).isBetween(EventSplitter.MAX_EVENT_BYTES, 1024 * 1024);
    splitter.takeRemainder();
    assertThat(splitter.isTooLong()).isFalse();
  }

  @Test
  void acceptsManyEventsThatTogetherExceedTheLimit() {
    EventSplitter splitter = new EventSplitter();
    byte[] events = bytes("data: x\n\n".repeat(EventSplitter.MAX_EVENT_BYTES));
    assertThat(splitter.feed(events)).hasSize(EventSplitter.MAX_EVENT_BYTES);
    assertThat(splitter.isTooLong()).isFalse();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"id: x1", "id:  1", "id: 1 ", "id:\t1", "id: 01", "id: -1", "id:", "id: "})
  void treatsAMalformedIdAsMissing(String id) {
    assertThat(new EventSplitter().feed(bytes(id + "\n\n")).get(0).id()).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(strings = {"id: 0", "id:0", "id: 10", "id: 999999999999999999"})
  void readsAWellFormedId(String id) {
    assertThat(new EventSplitter().feed(bytes(id + "\n\n")).get(0).id()).isPresent();
  }

  @Test
  void dropsLineBreaksBetweenEvents() {
    EventSplitter splitter = new EventSplitter();
    assertThat(splitter.feed(bytes("\r\n\n\nid: 1\n\n\n\r")))
        .extracting(event -> new String(event.bytes(), StandardCharsets.UTF_8))
        .containsExactly("id: 1\n\n");
    assertThat(splitter.isInsideEvent()).isFalse();
    assertThat(splitter.feed(bytes("\ni"))).isEmpty();
    assertThat(splitter.isInsideEvent()).isTrue();
  }

  @Property
  void preservesAllBytesWhateverTheChunkBoundaries(
      @ForAll @Size(max = 20) List<@IntRange(min = 1, max = 9) Integer> chunkSizes) {
    byte[] stream = bytes("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: c\n\nid: 3\ndata: rest");
    EventSplitter splitter = new EventSplitter();
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    List<Long> ids = new ArrayList<>();
    int position = 0;
    List<Integer> allChunkSizes = new ArrayList<>(chunkSizes);
    allChunkSizes.add(stream.length);
    for (int chunkSize : allChunkSizes) {
      int end = Math.min(stream.length, position + chunkSize);
      for (EventSplitter.Event event : splitter.feed(Arrays.copyOfRange(stream, position, end))) {
        output.writeBytes(event.bytes());
        event.id().ifPresent(ids::add);
      }
      position = end;
    }
    output.writeBytes(splitter.takeRemainder());
    assertThat(output.toByteArray()).isEqualTo(stream);
    assertThat(ids).containsExactly(1L, 2L);
  }

  /** Guards against other lines than those of the regular expression that was used before. */
  @Property
  void splitsLinesAtLineFeedsWithOrWithoutCarriageReturn(
      @ForAll @CharRange(from = 'a', to = 'b') @Chars({'\r', '\n'}) String text) {
    assertThat(EventSplitter.lines(bytes(text))).containsExactly(text.split("\r?\n", -1));
  }
}
