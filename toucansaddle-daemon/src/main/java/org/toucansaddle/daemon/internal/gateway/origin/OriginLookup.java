package org.toucansaddle.daemon.internal.gateway.origin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.daemon.internal.PacedTask;
import org.toucansaddle.daemon.internal.PacedTask.DelayedExecutor;
import org.toucansaddle.protocol.generated.FindOriginReply;
import org.toucansaddle.protocol.generated.FindOriginRequest;
import org.toucansaddle.protocol.generated.StreamOrigins;

/**
 * Finds where a stream began: in the table of this router, or else by asking all followed control
 * daemons, of which the first that knows the stream decides.
 *
 * <p>Many streams return at once when their router is lost, often to one that has just started and
 * makes calls slowly; so questions of a short time are sent together, and not by the thread that
 * asks. Thread-safe; no thread waits for a reply.
 */
public final class OriginLookup {

  /** Time for the control daemons to reply. */
  public static final long TIMEOUT_MILLIS = 250;

  /** Bounds the memory and the calls while many streams return and no control daemon replies. */
  static final int MAX_UNDER_WAY = 2_000;

  private static final int BATCH_INTERVAL_MILLIS = 10;

  private static final Logger DECISIONS = LoggerFactory.getLogger("decision.relay");

  private final OriginTable table;
  private final Supplier<List<String>> daemons;
  private final ControlCall call;
  private final Consumer<Outcome> observer;
  private final Executor afterTimeout =
      CompletableFuture.delayedExecutor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  private final PacedTask sending;
  private final Queue<Question> unsent = new ConcurrentLinkedQueue<>();
  private final AtomicInteger underWay = new AtomicInteger();

  /** How a lookup ended. */
  public enum Outcome {
    /** The origin is known. */
    KNOWN,
    /**
     * At least one control daemon that knows all versions which may have begun the stream replied,
     * and none of those that did knows the stream.
     */
    UNKNOWN,
    /** None of the control daemons that replied knows the stream, nor all versions. */
    INCONCLUSIVE,
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
   * @param executor sends the questions
   * @param observer receives the outcome of each lookup
   */
  public OriginLookup(
      OriginTable table,
      Supplier<List<String>> daemons,
      ControlCall call,
      DelayedExecutor executor,
      Consumer<Outcome> observer) {
    this.table = table;
    this.daemons = daemons;
    this.call = call;
    this.observer = observer;
    this.sending =
        new PacedTask(this::sendQuestions, BATCH_INTERVAL_MILLIS, executor, System::nanoTime);
  }

  /**
   * Finds the origin of the stream that a request began.
   *
   * <p>The future never fails. It is complete on return if this router knows the stream, and may
   * complete on any thread otherwise.
   *
   * @param requestId id of the request that began the stream; empty if it is not known
   * @param maxAgeMillis longest time since the stream began, in milliseconds
   */
  public CompletableFuture<Answer> find(String requestId, long maxAgeMillis) {
    Question question = new Question(requestId, maxAgeMillis);
    boolean isOneTooMany = underWay.incrementAndGet() > MAX_UNDER_WAY;
    Optional<StreamOrigin> own = table.find(requestId);
    if (own.isPresent()) {
      question.end(Answer.known(own.get()));
    } else if (isOneTooMany) {
      question.end(Answer.without(Outcome.UNANSWERED));
    } else {
      afterTimeout.execute(question::endWithoutOrigin);
      unsent.add(question);
      sending.request();
    }
    return question.answer;
  }

  private void sendQuestions() {
    List<Question> questions = new ArrayList<>();
    for (Question next = unsent.poll(); next != null; next = unsent.poll()) {
      questions.add(next);
    }
    List<String> addresses = daemons.get();
    FindOriginRequest.Builder request = FindOriginRequest.newBuilder();
    for (Question question : questions) {
      question.expectReplies(addresses.size());
      request.addRequests(question.request);
    }
    FindOriginRequest built = request.build();
    for (String address : addresses) {
      send(address, built)
          .whenComplete(
              (reply, failure) -> {
                Optional<Knowledge> knowledge = Optional.ofNullable(reply).map(Knowledge::of);
                questions.forEach(question -> question.receive(knowledge));
              });
    }
  }

  private CompletableFuture<FindOriginReply> send(String address, FindOriginRequest request) {
    try {
      return call.ask(address, request);
    } catch (RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  /**
   * What a control daemon replied. Immutable.
   *
   * @param origins origins of the streams that it knows
   * @param versionsKnownMillis time for which it has known all software versions, in milliseconds
   */
  private record Knowledge(Map<Long, StreamOrigin> origins, long versionsKnownMillis) {

    static Knowledge of(FindOriginReply reply) {
      Map<Long, StreamOrigin> known = new HashMap<>();
      for (StreamOrigins message : reply.getOriginsList()) {
        StreamOrigin origin = new StreamOrigin(message.getService(), message.getSoftwareVersion());
        message.getRequestsList().forEach(request -> known.put(request, origin));
      }
      // Older daemons do not say; they count as before.
      long millis =
          reply.hasVersionsKnownMillis() ? reply.getVersionsKnownMillis() : Long.MAX_VALUE;
      return new Knowledge(known, millis);
    }
  }

  /** Returns the number of lookups that wait for replies. */
  public int underWay() {
    return underWay.get();
  }

  /** A question to several control daemons. */
  private final class Question {
    private final String requestId;
    private final long maxAgeMillis;
    private final long request;
    private final long startedAtNanos = System.nanoTime();
    private final AtomicInteger pending = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger conclusive = new AtomicInteger();
    private final AtomicBoolean ended = new AtomicBoolean();
    private final CompletableFuture<Answer> answer = new CompletableFuture<>();
    private volatile int asked;

    Question(String requestId, long maxAgeMillis) {
      this.requestId = requestId;
      this.maxAgeMillis = maxAgeMillis;
      this.request = OriginTable.hash(requestId);
    }

    /** Prepares for the replies to be received; ends the lookup if nobody is asked. */
    void expectReplies(int count) {
      asked = count;
      pending.set(count);
      if (count == 0) {
        endWithoutOrigin();
      }
    }

    /** Receives what a control daemon knows; empty if the call failed. */
    void receive(Optional<Knowledge> knowledge) {
      if (knowledge.isPresent()) {
        answered.incrementAndGet();
        if (knowledge.get().versionsKnownMillis() >= maxAgeMillis) {
          conclusive.incrementAndGet();
        }
        StreamOrigin origin = knowledge.get().origins().get(request);
        if (origin != null) {
          end(Answer.known(origin));
        }
      }
      if (pending.decrementAndGet() == 0) {
        endWithoutOrigin();
      }
    }

    private void endWithoutOrigin() {
      if (answered.get() == 0) {
        end(Answer.without(Outcome.UNANSWERED));
      } else {
        end(Answer.without(conclusive.get() > 0 ? Outcome.UNKNOWN : Outcome.INCONCLUSIVE));
      }
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
