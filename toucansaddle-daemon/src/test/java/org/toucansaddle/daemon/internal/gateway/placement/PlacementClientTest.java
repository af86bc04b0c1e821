package org.toucansaddle.daemon.internal.gateway.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.internal.gateway.placement.PlacementClient.Asked;
import org.toucansaddle.protocol.generated.PlacementAnswer;
import org.toucansaddle.protocol.generated.PlacementAsk;
import org.toucansaddle.protocol.generated.PlacementMessage;
import org.toucansaddle.protocol.generated.PlacementReply;

/** Tests of {@link PlacementClient} with simulated streams and time. */
public class PlacementClientTest {

  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private record Timer(long at, Runnable action) {}

  /** One stream as the control daemon sees it. */
  private static final class FakeStream implements StreamObserver<PlacementMessage> {
    private final String address;
    private final StreamObserver<PlacementReply> replies;
    private final List<PlacementMessage> messages = new ArrayList<>();
    private boolean completed;

    FakeStream(String address, StreamObserver<PlacementReply> replies) {
      this.address = address;
      this.replies = replies;
    }

    @Override
    public void onNext(PlacementMessage message) {
      messages.add(message);
    }

    @Override
    public void onError(Throwable failure) {
      completed = true;
    }

    @Override
    public void onCompleted() {
      completed = true;
    }

    PlacementMessage last() {
      return messages.get(messages.size() - 1);
    }

    void acknowledge() {
      replies.onNext(PlacementReply.newBuilder().setAcknowledged(last().getSequence()).build());
    }

    void grant(long ask, long grant) {
      replies.onNext(
          PlacementReply.newBuilder()
              .setAcknowledged(last().getSequence())
              .addAnswers(
                  PlacementAnswer.newBuilder().setAsk(ask).setGrant(grant).setUpstream("e1"))
              .build());
    }

    List<Long> ended() {
      return messages.stream().flatMap(m -> m.getEndedList().stream()).toList();
    }

    List<Long> cancelled() {
      return messages.stream().flatMap(m -> m.getCancelledList().stream()).toList();
    }
  }

  private final List<FakeStream> streams = new ArrayList<>();
  private final List<Optional<PlacementAnswer>> answers = new ArrayList<>();
  private PriorityQueue<Timer> timers;
  private PlacementClient client;
  private String placer;
  private long now;

  @BeforeMethod
  public void connect() {
    streams.clear();
    answers.clear();
    timers = new PriorityQueue<>(Comparator.comparingLong(Timer::at));
    now = 0;
    placer = "c1";
    client =
        new PlacementClient(
            "r1",
            "z1",
            () -> placer,
            (address, replies) -> {
              FakeStream stream = new FakeStream(address, replies);
              streams.add(stream);
              return stream;
            },
            List::of,
            (action, delayNanos) -> timers.add(new Timer(now + delayNanos, action)),
            () -> now);
    client.step();
  }

  private void pass(long millis) {
    now += millis * MILLI;
    while (!timers.isEmpty() && timers.peek().at() <= now) {
      timers.poll().action().run();
    }
  }

  private FakeStream stream() {
    return streams.get(streams.size() - 1);
  }

  private Asked ask() {
    return client.ask(PlacementAsk.newBuilder().setService("s"), answers::add);
  }

  @Test
  public void shouldDecideLocallyUntilControlDaemonGivesSign() {
    assertThat(client.accepts()).isFalse();
    ask();
    assertThat(answers).containsExactly(Optional.empty());
    stream().acknowledge();
    assertThat(client.accepts()).isTrue();
    ask();
    assertThat(answers).hasSize(1);
    assertThat(stream().last().getAsksCount()).isEqualTo(1);
  }

  @Test
  public void shouldSendAsksTogetherWhileOthersAreUnacknowledged() {
    stream().acknowledge();
    for (int count = 0; count < 5; count++) {
      ask();
    }
    assertThat(stream().messages).hasSize(3);
    stream().acknowledge();
    assertThat(stream().last().getAsksCount()).isEqualTo(3);
  }

  @Test
  public void shouldPassGrantToRequestAndReportItsEndOnce() {
    stream().acknowledge();
    ask();
    stream().grant(stream().last().getAsks(0).getId(), 7);
    assertThat(answers).hasSize(1);
    PlacementGrant grant = client.grant(answers.get(0).get(), 100);
    grant.started(20);
    grant.ended();
    grant.ended();
    pass(10);
    assertThat(stream().last().getStartedCount()).isEqualTo(1);
    assertThat(stream().ended()).containsExactly(7L);
  }

  /** Granting place frozen under load: guards against requests that wait for it. */
  @Test
  public void shouldDecideLocallyIfControlDaemonIsSilent() {
    stream().acknowledge();
    ask();
    ask();
    pass(100);
    assertThat(answers).containsExactly(Optional.empty(), Optional.empty());
    ask();
    assertThat(answers).hasSize(3);
  }

  /** Guards against a slot that stays taken since its grant came after the decision here. */
  @Test
  public void shouldGiveBackGrantThatComesLate() {
    stream().acknowledge();
    ask();
    long id = stream().last().getAsks(0).getId();
    pass(100);
    stream().grant(id, 7);
    pass(10);
    assertThat(answers).containsExactly(Optional.empty());
    assertThat(stream().ended()).containsExactly(7L);
  }

  /** Guards against a request that is sent twice because its grant came twice. */
  @Test
  public void shouldUseGrantThatComesTwiceOnce() {
    stream().acknowledge();
    ask();
    long id = stream().last().getAsks(0).getId();
    stream().grant(id, 7);
    stream().grant(id, 8);
    pass(10);
    assertThat(answers).hasSize(1);
    assertThat(stream().ended()).containsExactly(8L);
  }

  @Test
  public void shouldAskAgainAfterNextSign() {
    stream().acknowledge();
    ask();
    pass(100);
    client.step();
    stream().acknowledge();
    ask();
    assertThat(answers).hasSize(1);
  }

  @Test
  public void shouldWithdrawAskOfCallerThatLeft() {
    stream().acknowledge();
    Asked asked = ask();
    long id = stream().last().getAsks(0).getId();
    asked.cancel();
    pass(10);
    assertThat(stream().cancelled()).containsExactly(id);
    stream().grant(id, 7);
    pass(10);
    assertThat(answers).isEmpty();
    assertThat(stream().ended()).containsExactly(7L);
  }

  /** Hand-over between two granting places: guards against asks that nobody decides on. */
  @Test
  public void shouldDecideLocallyAboutAsksOfEarlierControlDaemon() {
    stream().acknowledge();
    ask();
    FakeStream earlier = stream();
    placer = "c2";
    client.step();
    assertThat(answers).containsExactly(Optional.empty());
    assertThat(earlier.completed).isTrue();
    assertThat(stream().address).isEqualTo("c2");
    assertThat(stream().last().getHasOtherWork()).isTrue();
    earlier.grant(1, 7);
    assertThat(answers).hasSize(1);
  }

  /** Guards against the report of a grant to a control daemon that did not make it. */
  @Test
  public void shouldReportEndsOnlyOnStreamOfGrant() {
    stream().acknowledge();
    ask();
    stream().grant(stream().last().getAsks(0).getId(), 7);
    PlacementGrant grant = client.grant(answers.get(0).get(), 100);
    placer = "c2";
    client.step();
    stream().acknowledge();
    grant.started(10);
    grant.ended();
    pass(10);
    assertThat(stream().ended()).isEmpty();
  }

  @Test
  public void shouldDecideLocallyIfStreamEnds() {
    stream().acknowledge();
    ask();
    stream().replies.onError(Status.UNIMPLEMENTED.asRuntimeException());
    assertThat(answers).containsExactly(Optional.empty());
    client.step();
    assertThat(streams).hasSize(2);
  }
}
