package org.toucansaddle.coordination.pacing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.toucansaddle.coordination.pacing.UpstreamPace.Evidence;
import org.toucansaddle.coordination.pacing.UpstreamPace.Load;

/**
 * Routers without a network that would all like to send to one paced upstream in every step; what
 * they do not send goes to others. Messages between them are 0.4 to 0.8 s old. Not thread-safe.
 */
final class PacedFleet {

  static final int SLOTS = 24;

  private static final int STEP_MILLIS = 10;
  private static final int REPORT_MILLIS = 400;
  private static final int TARGET_MILLIS = 400;

  /** Requests that each router with callers has at the other upstreams of the service. */
  private static final int ELSEWHERE = 4;

  /** How the upstream answers a request. Immutable. */
  record Answer(int firstTokenMillis, int holdMillis, boolean isFailure) {

    boolean keepsPace() {
      return !isFailure && firstTokenMillis <= TARGET_MILLIS;
    }
  }

  /** Behaviour of an upstream. */
  @FunctionalInterface
  interface Engine {
    /** Answers a request. */
    Answer answer(int underWay, long millis, SplittableRandom random);
  }

  /** Faults of the messages between routers. Immutable. */
  record Faults(double lost, double repeated, int extraDelayMillis, String event) {

    static final Faults NONE = new Faults(0, 0, 0, "");
  }

  /** What routers report: evidence, and requests under way, at one time. */
  private record Report(long atMillis, Evidence evidence, int underWay) {}

  private record Request(int router, long sentAt, long firstTokenAt, long endsAt, Answer answer) {}

  /** What a step did. Immutable. */
  record Sample(long millis, int underWay, double pace, int sent) {}

  private final int routers;
  private final int senders;
  private final Engine engine;
  private final Faults faults;
  private final SplittableRandom random;
  private final UpstreamPace[] paces;
  private final Report[] reports;
  private final Report[] earlier;
  private final int[] own;
  private final int[] others;
  private final List<Request> awaited = new ArrayList<>();
  private final List<Request> running = new ArrayList<>();
  private final List<Sample> samples = new ArrayList<>();
  private long millis;
  private long coldUntil;
  private int coldGapMillis;
  private long lastColdAt = Long.MIN_VALUE / 2;

  PacedFleet(int routers, Engine engine, Faults faults, long seed) {
    this(routers, routers, engine, faults, seed);
  }

  /** Creates routers of which the first {@code senders} have callers. */
  PacedFleet(int routers, int senders, Engine engine, Faults faults, long seed) {
    this.routers = routers;
    this.senders = senders;
    this.engine = engine;
    this.faults = faults;
    this.random = new SplittableRandom(seed);
    this.paces = new UpstreamPace[routers];
    this.reports = new Report[routers];
    this.earlier = new Report[routers];
    this.own = new int[routers];
    this.others = new int[routers];
    Arrays.setAll(paces, i -> createPace());
    Arrays.stream(paces).forEach(pace -> pace.begin(SLOTS, nanos()));
    Arrays.fill(reports, new Report(0, new Evidence(0, 0, 0), 0));
    Arrays.fill(earlier, reports[0]);
  }

  private UpstreamPace createPace() {
    return UpstreamPace.established(random.nextLong(), (change, pace, now) -> {}, nanos());
  }

  private long nanos() {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** Makes the upstream known as cold until a time, with one permitted request in a while. */
  void coldUntil(long endMillis, int gapMillis) {
    coldUntil = endMillis;
    coldGapMillis = gapMillis;
  }

  /** Plays until a time; returns what was seen since the last call. */
  List<Sample> runUntil(long endMillis) {
    int from = samples.size();
    for (; millis < endMillis; millis += STEP_MILLIS) {
      finish();
      exchange();
      Arrays.stream(paces).forEach(pace -> pace.recordCold(millis < coldUntil, nanos()));
      int sent = 0;
      for (int offset = 0, first = random.nextInt(routers); offset < routers; offset++) {
        sent += send((first + offset) % routers);
      }
      double pace =
          Arrays.stream(paces).mapToDouble(UpstreamPace::pace).sorted().toArray()[routers / 2];
      samples.add(new Sample(millis, running.size(), pace, sent));
    }
    return samples.subList(from, samples.size());
  }

  private int send(int router) {
    int all = own[router] + others[router];
    int serviceOwn = own[router] + ELSEWHERE;
    int serviceAll = all + ELSEWHERE * senders;
    Load load = Load.byTraffic(own[router], all, serviceOwn, serviceAll, routers);
    int wanted = Math.max(2, 2 * SLOTS / senders);
    if (router >= senders
        || load.own() >= wanted
        || load.all() >= 2 * SLOTS
        || (millis < coldUntil && millis - lastColdAt < coldGapMillis)
        || !paces[router].admits(load, true, nanos())) {
      return 0;
    }
    lastColdAt = millis;
    paces[router].recordSent(nanos());
    own[router]++;
    Answer answer = engine.answer(running.size() + 1, millis, random);
    Request request =
        new Request(
            router,
            millis,
            millis + answer.firstTokenMillis(),
            millis + answer.holdMillis(),
            answer);
    running.add(request);
    awaited.add(request);
    return 1;
  }

  private void finish() {
    awaited.removeIf(
        request -> {
          boolean isDue = request.firstTokenAt() <= millis;
          long sentAt = TimeUnit.MILLISECONDS.toNanos(request.sentAt());
          UpstreamPace pace = paces[request.router()];
          boolean counts = request.answer().isFailure() || pace.isEvidence(sentAt);
          if (isDue && counts && request.answer().keepsPace()) {
            pace.recordKept(SLOTS, routers, nanos());
          } else if (isDue && counts) {
            if (request.answer().isFailure()) {
              pace.restart(nanos());
              pace.recordFailed(sentAt, nanos());
            } else {
              pace.recordLate(sentAt, nanos());
            }
          }
          return isDue;
        });
    running.removeIf(
        request -> {
          boolean hasEnded = request.endsAt() <= millis;
          own[request.router()] -= hasEnded ? 1 : 0;
          return hasEnded;
        });
  }

  private void exchange() {
    if (faults.event().equals("a router restarts") && millis % 1_000 == 500) {
      int router = random.nextInt(routers);
      paces[router] = createPace();
    }
    boolean isSummed =
        !faults.event().equals("the summing daemon dies") || millis < 500 || millis > 3_000;
    for (int router = 0; router < routers; router++) {
      if ((millis + 7 * router) / REPORT_MILLIS
              != (millis + 7 * router - STEP_MILLIS) / REPORT_MILLIS
          && isSummed) {
        earlier[router] = reports[router];
        reports[router] = new Report(millis, paces[router].evidence(), own[router]);
        if (random.nextDouble() >= faults.lost()) {
          receive(router, random.nextDouble() < faults.repeated());
        }
      }
    }
  }

  private void receive(int router, boolean isRepeated) {
    int kept = 0;
    int fellBehind = 0;
    long behindAt = 0;
    int underWay = 0;
    for (int other = 0; other < routers; other++) {
      boolean isLate = random.nextInt(REPORT_MILLIS) < faults.extraDelayMillis();
      Report report = isLate || isRepeated ? earlier[other] : reports[other];
      if (other != router) {
        kept += report.evidence().kept();
        fellBehind += report.evidence().behind();
        behindAt = Math.max(behindAt, report.evidence().behindAtNanos());
        underWay += report.underWay();
      }
    }
    others[router] = underWay;
    Evidence sum = new Evidence(kept, fellBehind, behindAt);
    paces[router].mergeOthers(sum, SLOTS, routers, nanos());
    if (isRepeated) {
      paces[router].mergeOthers(sum, SLOTS, routers, nanos());
    }
  }

  /** Returns the number of routers that still restrict the upstream. */
  long activeCount() {
    return Arrays.stream(paces).filter(UpstreamPace::isActive).count();
  }
}
