package org.toucansaddle.daemon.internal.gateway.origin;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.protocol.generated.FindOriginReply;
import org.toucansaddle.protocol.generated.FindOriginRequest;
import org.toucansaddle.protocol.generated.StreamOrigins;

/** Tests of {@link OriginTable}. */
public class OriginTableTest {

  private static final StreamOrigin V1 = new StreamOrigin("s", "v1");
  private static final StreamOrigin V2 = new StreamOrigin("s", "v2");

  private volatile long nowNanos;
  private OriginTable table;

  @BeforeMethod
  public void createTable() {
    nowNanos = TimeUnit.SECONDS.toNanos(100);
    table = createOther();
  }

  private OriginTable createOther() {
    return new OriginTable(() -> nowNanos);
  }

  private void record(String requestId, StreamOrigin origin) {
    table.record(requestId, origin, false);
  }

  private void recordMany(int count) {
    for (int i = 0; i < count; i++) {
      record("r" + i, V1);
    }
  }

  private static StreamOrigins message(StreamOrigin origin, String... requestIds) {
    StreamOrigins.Builder message =
        StreamOrigins.newBuilder()
            .setService(origin.service())
            .setSoftwareVersion(origin.softwareVersion());
    for (String id : requestIds) {
      message.addRequests(OriginTable.hash(id));
    }
    return message.build();
  }

  @Test
  public void shouldFindLatestOriginOfRequest() {
    record("r", V1);
    assertThat(table.find("r")).contains(V1);
    record("r", V2);
    assertThat(table.find("r")).contains(V2);
    assertThat(table.find("other")).isEmpty();
    assertThat(table.size()).isEqualTo(1);
  }

  @Test
  public void shouldIgnoreRequestWithoutId() {
    record("", V1);
    assertThat(table.size()).isZero();
    assertThat(table.find("")).isEmpty();
  }

  @Test
  public void shouldReturnWhatChangedByOrigin() {
    record("a", V1);
    record("b", V2);
    long change = table.lastChange();
    assertThat(table.changedAfter(0)).containsExactly(message(V1, "a"), message(V2, "b"));
    assertThat(table.changedAfter(change)).isEmpty();
    record("c", V1);
    record("d", V1);
    assertThat(table.changedAfter(change)).containsExactly(message(V1, "c", "d"));
  }

  /** Guards against a control daemon that learns an origin which the request has left since. */
  @Test
  public void shouldReturnOnlyLatestOriginOfRequestThatMoved() {
    record("r", V1);
    long change = table.lastChange();
    record("r", V2);
    assertThat(table.changedAfter(0)).containsExactly(message(V2, "r"));
    assertThat(table.changedAfter(change)).containsExactly(message(V2, "r"));
  }

  @Test
  public void shouldReplaceMergedOriginByLaterOne() {
    table.merge(List.of(message(V1, "a", "b")));
    table.merge(List.of(message(V2, "b")));
    assertThat(table.find("a")).contains(V1);
    assertThat(table.find("b")).contains(V2);
  }

  @Test
  public void shouldAnswerQuestion() {
    record("r", V2);
    record("a", V1);
    FindOriginRequest.Builder question = FindOriginRequest.newBuilder();
    assertThat(table.answer(question.addRequests(OriginTable.hash("other")).build()))
        .isEqualTo(FindOriginReply.getDefaultInstance());
    question.addRequests(OriginTable.hash("r")).addRequests(OriginTable.hash("a"));
    assertThat(table.answer(question.build()).getOriginsList())
        .containsExactly(message(V2, "r"), message(V1, "a"));
  }

  @Test
  public void shouldForgetOldOrigins() {
    recordMany(3);
    nowNanos += OriginTable.RETENTION_NANOS;
    assertThat(table.find("r0")).contains(V1);
    assertThat(table.changedAfter(0)).hasSize(1);
    nowNanos++;
    assertThat(table.find("r0")).isEmpty();
    assertThat(table.changedAfter(0)).isEmpty();
    record("new", V2);
    assertThat(table.size()).isEqualTo(1);
  }

  @Test
  public void shouldKeepOriginThatIsRecordedAgain() {
    recordMany(2);
    nowNanos += OriginTable.RETENTION_NANOS;
    record("r0", V1);
    nowNanos++;
    assertThat(table.find("r0")).contains(V1);
    assertThat(table.find("r1")).isEmpty();
  }

  @Test
  public void shouldForgetOldestOfTooManyOrigins() {
    recordMany(OriginTable.MAX_ENTRIES + 1_000);
    assertThat(table.size()).isEqualTo(OriginTable.MAX_ENTRIES);
    assertThat(table.find("r999")).isEmpty();
    assertThat(table.find("r1000")).contains(V1);
    assertThat(table.find("r" + (OriginTable.MAX_ENTRIES + 999))).contains(V1);
    assertThat(table.changedAfter(0).get(0).getRequestsCount()).isEqualTo(OriginTable.MAX_ENTRIES);
  }

  @Test
  public void shouldKeepOtherOriginsWhileOneRequestMovesOften() {
    for (int i = 0; i < 10 * OriginTable.MAX_ENTRIES; i++) {
      record("r", i % 2 == 0 ? V1 : V2);
    }
    record("other", V1);
    assertThat(table.size()).isEqualTo(2);
    assertThat(table.find("r")).contains(V2);
    assertThat(table.changedAfter(0)).containsExactly(message(V2, "r"), message(V1, "other"));
  }

  @Test
  public void shouldBoundDistinctOrigins() {
    for (int i = 0; i < OriginTable.MAX_DISTINCT_ORIGINS + 10; i++) {
      record("r" + i, new StreamOrigin("s", "v" + i));
    }
    assertThat(table.size()).isEqualTo(OriginTable.MAX_DISTINCT_ORIGINS);
    assertThat(table.find("r9")).isEmpty();
    assertThat(table.find("r10")).contains(new StreamOrigin("s", "v10"));
  }

  @Test
  public void shouldNotifyOfPromptRecordsOnly() {
    AtomicInteger notifications = new AtomicInteger();
    table.onPromptRecord(notifications::incrementAndGet);
    record("a", V1);
    assertThat(notifications).hasValue(0);
    table.record("b", V1, true);
    assertThat(notifications).hasValue(1);
  }

  /** Origin that the table is to know, and when it was recorded. */
  private record Expected(StreamOrigin origin, long at) {}

  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{1}, {2}, {3}};
  }

  /** Compares the table with a map while requests move and get old. */
  @Test(dataProvider = "seeds")
  public void shouldAgreeWithMap(int seed) {
    Random random = new Random(seed);
    Map<String, Expected> expected = new HashMap<>();
    for (int step = 0; step < 200_000; step++) {
      String id = "r" + random.nextInt(20_000);
      if (random.nextInt(3) == 0) {
        StreamOrigin origin = new StreamOrigin("s" + random.nextInt(5), "v" + random.nextInt(5));
        record(id, origin);
        expected.put(id, new Expected(origin, nowNanos));
      } else {
        Expected entry = expected.get(id);
        boolean isKept = entry != null && nowNanos - entry.at() <= OriginTable.RETENTION_NANOS;
        assertThat(table.find(id).orElse(null))
            .as("%s at step %d, seed %d", id, step, seed)
            .isEqualTo(isKept ? entry.origin() : null);
      }
      if (random.nextInt(10) == 0) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(random.nextInt(100));
      }
    }
  }

  /** Guards against reports of a stream that leave out what is recorded while they are made. */
  @Test
  public void shouldReportEachOriginToReaderWhileOthersRecord() throws Exception {
    int writers = 3;
    int recordsEach = 5_000;
    OriginTable reader = createOther();
    AtomicBoolean done = new AtomicBoolean();
    CompletableFuture<Void> reading =
        CompletableFuture.runAsync(
            () -> {
              long sent = 0;
              boolean last;
              do {
                last = done.get();
                long change = table.lastChange();
                reader.merge(table.changedAfter(sent));
                sent = change;
              } while (!last);
            });
    List<Thread> threads = new ArrayList<>();
    for (int writer = 0; writer < writers; writer++) {
      String prefix = "w" + writer + "-";
      Thread thread =
          new Thread(
              () -> {
                for (int i = 0; i < recordsEach; i++) {
                  record(prefix + i, V1);
                  record(prefix + i, V2);
                }
              });
      thread.start();
      threads.add(thread);
    }
    for (Thread thread : threads) {
      thread.join();
    }
    done.set(true);
    reading.get(10, TimeUnit.SECONDS);
    assertThat(reader.size()).isEqualTo(writers * recordsEach);
    for (int i = 0; i < recordsEach; i++) {
      assertThat(reader.find("w0-" + i)).contains(V2);
    }
  }
}
