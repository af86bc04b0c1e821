package org.toucansaddle.daemon.internal.gateway.origin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
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
 * <p>That a stream is unknown counts only if most control daemons of the fleet say so: a router may
 * be cut off from the others together with a few of them. Their replies name the software versions
 * that they know, since a router that stood still does not know the latest ones.
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
  private final IntSupplier fleetSize;
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
     * Most control daemons replied, at least one of them knows all versions which may have begun
     * the stream, and none of them knows the stream.
     */
    UNKNOWN,
    /** Most control daemons replied, and none of them knows the stream, nor all versions. */
    INCONCLUSIVE,
    /** Too few control daemons replied in time, or too many lookups are under way. */
    UNANSWERED
  }

  /**
   * Result of a lookup. Immutable.
   *
   * @param origin where the stream began; empty unless the outcome is {@link Outcome#KNOWN}
   * @param versions the software versions of all services that the control daemons which replied
   *     know; empty if the origin is known
   */
  public record Answer(Outcome outcome, Optional<StreamOrigin> origin, Set<StreamOrigin> versions) {

    /** Copies the versions. */
    public Answer {
      versions = Set.copyOf(versions);
    }

    private static Answer known(StreamOrigin origin) {
      return new Answer(Outcome.KNOWN, Optional.of(origin), Set.of());
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
   * @param fleetSize number of control daemons that the fleet has, as far as is known
   * @param executor sends the questions
   * @param observer receives the outcome of each lookup
   */
  public OriginLookup(
      OriginTable table,
      Supplier<List<String>> daemons,
      IntSupplier fleetSize,
      ControlCall call,
      DelayedExecutor executor,
      Consumer<Outcome> observer) {
    this.table = table;
    this.daemons = daemons;
    this.fleetSize = fleetSize;
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
    Optional<StreamOrigin> own = requestId.isEmpty() ? Optional.empty() : table.find(requestId);
    if (own.isPresent()) {
      question.end(Answer.known(own.get()));
    } else if (isOneTooMany) {
      question.end(new Answer(Outcome.UNANSWERED, Optional.empty(), Set.of()));
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
    int required = fleetSize.getAsInt() / 2 + 1;
    FindOriginRequest.Builder request = FindOriginRequest.newBuilder();
    for (Question question : questions) {
      question.expectReplies(addresses.size(), required);
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
   * @param versions the software versions that it knows; an older daemon names none
   */
  private record Knowledge(
      Map<Long, StreamOrigin> origins, long versionsKnownMillis, Set<StreamOrigin> versions) {

    static Knowledge of(FindOriginReply reply) {
      Map<Long, StreamOrigin> known = new HashMap<>();
      for (StreamOrigins message : reply.getOriginsList()) {
        StreamOrigin origin = new StreamOrigin(message.getService(), message.getSoftwareVersion());
        message.getRequestsList().forEach(request -> known.put(request, origin));
      }
      // Older daemons do not say; they count as before.
      long millis =
          reply.hasVersionsKnownMillis() ? reply.getVersionsKnownMillis() : Long.MAX_VALUE;
      Set<StreamOrigin> versions =
          reply.getVersionsList().stream()
              .map(version -> new StreamOrigin(version.getService(), version.getSoftwareVersion()))
              .collect(Collectors.toSet());
      return new Knowledge(known, millis, versions);
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
    private final Set<StreamOrigin> versions = ConcurrentHashMap.newKeySet();
    private final AtomicBoolean ended = new AtomicBoolean();
    private final CompletableFuture<Answer> answer = new CompletableFuture<>();
    private volatile int asked;
    private volatile int required = Integer.MAX_VALUE;

    Question(String requestId, long maxAgeMillis) {
      this.requestId = requestId;
      this.maxAgeMillis = maxAgeMillis;
      this.request = OriginTable.hash(requestId);
    }

    /** Prepares for the replies to be received; ends the lookup if nobody is asked. */
    void expectReplies(int count, int requiredCount) {
      asked = count;
      required = requiredCount;
      pending.set(count);
      if (count == 0) {
        endWithoutOrigin();
      }
    }

    /** Receives what a control daemon knows; empty if the call failed. */
    void receive(Optional<Knowledge> knowledge) {
      if (knowledge.isPresent()) {
        versions.addAll(knowledge.get().versions());
        if (knowledge.get().versionsKnownMillis() >= maxAgeMillis) {
          conclusive.incrementAndGet();
        }
        answered.incrementAndGet();
        StreamOrigin origin = knowledge.get().origins().get(request);
        if (origin != null && !requestId.isEmpty()) {
          end(Answer.known(origin));
        }
      }
      if (pending.decrementAndGet() == 0) {
        endWithoutOrigin();
      }
    }

    private void endWithoutOrigin() {
      Outcome outcome = Outcome.UNANSWERED;
      if (answered.get() >= required) {
        outcome = conclusive.get() > 0 ? Outcome.UNKNOWN : Outcome.INCONCLUSIVE;
      }
      end(new Answer(outcome, Optional.empty(), versions));
    }

    /** Ends the lookup; later calls have no effect. */
    private void end(Answer result) {
      if (!ended.compareAndSet(false, true)) {
        return;
      }
      underWay.decrementAndGet();
      observer.accept(result.outcome());
      DECISIONS.info(
          "origin request={} outcome={} service={} version={} versions={} daemons_asked={}"
              + " daemons_answered={} daemons_required={} millis={}",
          requestId,
          result.outcome().name().toLowerCase(Locale.ROOT),
          result.origin().map(StreamOrigin::service).orElse(""),
          result.origin().map(StreamOrigin::softwareVersion).orElse(""),
          result.versions().size(),
          asked,
          answered.get(),
          required,
          TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNanos));
      answer.complete(result);
    }
  }
}
