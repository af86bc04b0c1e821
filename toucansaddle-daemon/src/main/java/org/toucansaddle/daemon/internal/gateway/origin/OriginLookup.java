package org.toucansaddle.daemon.internal.gateway.origin;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.protocol.generated.FindOriginReply;
import org.toucansaddle.protocol.generated.FindOriginRequest;

/**
 * Finds where a stream began: in the table of this router, or else by asking all followed control
 * daemons, of which the first that knows the stream decides.
 *
 * <p>Thread-safe; no thread waits for a reply.
 */
public final class OriginLookup {

  /** Time for the control daemons to reply. */
  public static final long TIMEOUT_MILLIS = 250;

  /** Bounds the memory and the calls while many streams return and no control daemon replies. */
  static final int MAX_UNDER_WAY = 2_000;

  private static final Logger DECISIONS = LoggerFactory.getLogger("decision.relay");

  private final OriginTable table;
  private final Supplier<List<String>> daemons;
  private final ControlCall call;
  private final Consumer<Outcome> observer;
  private final Executor afterTimeout =
      CompletableFuture.delayedExecutor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  private final AtomicInteger underWay = new AtomicInteger();

  /** How a lookup ended. */
  public enum Outcome {
    /** The origin is known. */
    KNOWN,
    /** At least one control daemon replied, and none of those that did knows the stream. */
    UNKNOWN,
    /** No control daemon replied in time, or too many lookups are under way. */
    UNANSWERED
  }

  /**
   * Result of a lookup. Immutable.
   *
   * @param origin where the stream began; empty unless the outcome is {@link Outcome#KNOWN}
   */
  public record Answer(Outcome outcome, Optional<StreamOrigin> origin) {

    private static Answer known(StreamOrigin origin) {
      return new Answer(Outcome.KNOWN, Optional.of(origin));
    }

    private static Answer without(Outcome outcome) {
      return new Answer(outcome, Optional.empty());
    }
  }

  /** Asks a control daemon. */
  @FunctionalInterface
  public interface ControlCall {

    /** Returns the reply; the future fails if there is none or the daemon has no such method. */
    CompletableFuture<FindOriginReply> ask(String address, FindOriginRequest request);
  }

  /**
   * Creates a lookup.
   *
   * @param table origins of the streams that this router began
   * @param daemons addresses of the control daemons to ask
   * @param observer receives the outcome of each lookup
   */
  public OriginLookup(
      OriginTable table,
      Supplier<List<String>> daemons,
      ControlCall call,
      Consumer<Outcome> observer) {
    this.table = table;
    this.daemons = daemons;
    this.call = call;
    this.observer = observer;
  }

  /**
   * Finds the origin of the stream that a request began.
   *
   * <p>The future never fails. It is complete on return if this router knows the stream, and may
   * complete on any thread otherwise.
   */
  public CompletableFuture<Answer> find(String requestId) {
    Optional<StreamOrigin> own = table.find(requestId);
    List<String> asked = own.isPresent() ? List.of() : daemons.get();
    Question question = new Question(requestId, asked.size());
    boolean isOneTooMany = underWay.incrementAndGet() > MAX_UNDER_WAY;
    if (own.isPresent()) {
      question.end(Answer.known(own.get()));
    } else if (asked.isEmpty() || isOneTooMany) {
      question.end(Answer.without(Outcome.UNANSWERED));
    } else {
      question.ask(asked);
    }
    return question.answer;
  }

  /** Returns the number of lookups that wait for replies. */
  public int underWay() {
    return underWay.get();
  }

  /** A question to several control daemons. */
  private final class Question {
    private final String requestId;
    private final int asked;
    private final long startedAtNanos = System.nanoTime();
    private final AtomicInteger pending;
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicBoolean ended = new AtomicBoolean();
    private final CompletableFuture<Answer> answer = new CompletableFuture<>();

    Question(String requestId, int asked) {
      this.requestId = requestId;
      this.asked = asked;
      this.pending = new AtomicInteger(asked);
    }

    void ask(List<String> addresses) {
      afterTimeout.execute(this::endWithoutOrigin);
      FindOriginRequest request =
          FindOriginRequest.newBuilder().setRequest(OriginTable.hash(requestId)).build();
      for (String address : addresses) {
        send(address, request).whenComplete(this::receive);
      }
    }

    private CompletableFuture<FindOriginReply> send(String address, FindOriginRequest request) {
      try {
        return call.ask(address, request);
      } catch (RuntimeException e) {
        return CompletableFuture.failedFuture(e);
      }
    }

    private void receive(FindOriginReply reply, Throwable failure) {
      if (failure == null) {
        answered.incrementAndGet();
        if (reply.getKnown()) {
          end(Answer.known(new StreamOrigin(reply.getService(), reply.getSoftwareVersion())));
        }
      }
      if (pending.decrementAndGet() == 0) {
        endWithoutOrigin();
      }
    }

    private void endWithoutOrigin() {
      end(Answer.without(answered.get() > 0 ? Outcome.UNKNOWN : Outcome.UNANSWERED));
    }

    /** Ends the lookup; later calls have no effect. */
    private void end(Answer result) {
      if (!ended.compareAndSet(false, true)) {
        return;
      }
      underWay.decrementAndGet();
      observer.accept(result.outcome());
      DECISIONS.info(
          "origin request={} outcome={} service={} version={} daemons_asked={}"
              + " daemons_answered={} millis={}",
          requestId,
          result.outcome().name().toLowerCase(Locale.ROOT),
          result.origin().map(StreamOrigin::service).orElse(""),
          result.origin().map(StreamOrigin::softwareVersion).orElse(""),
          asked,
          answered.get(),
          TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNanos));
      answer.complete(result);
    }
  }
}
