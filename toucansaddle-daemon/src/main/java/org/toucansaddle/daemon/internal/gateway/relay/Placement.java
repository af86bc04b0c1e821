package org.toucansaddle.daemon.internal.gateway.relay;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.toucansaddle.daemon.internal.gateway.routing.Upstream;

/**
 * Decides which upstream gets a request, without I/O.
 *
 * <p>A prompt goes where the shared part of its prefix was read before, unless reading it anew
 * elsewhere starts sooner; other requests go where the least is under way for each slot. Stateless
 * and thread-safe.
 */
public final class Placement {

  /** Requests that a plain upstream may have waiting, for each slot. */
  private static final double MAX_QUEUED_PER_SLOT = 1.5;

  /** Requests that an engine may have beyond its slots, for each slot. */
  private static final double MAX_ENGINE_LOAD = 1.1;

  /** Upstreams that keep one prefix: the first in rendezvous order, and one more for hot ones. */
  private static final int HOMES = 2;

  /** Tokens that an engine reads in a millisecond while it also generates, if nothing is known. */
  private static final double DEFAULT_TOKENS_PER_MILLI = 25;

  /** What a zone boundary costs, in milliseconds of waiting. */
  private static final double OTHER_ZONE_MILLIS = 4;

  private final String zone;

  /** Creates the placement of a router in a zone. */
  public Placement(String zone) {
    this.zone = zone;
  }

  /**
   * An upstream that was chosen. Immutable.
   *
   * @param upstream the upstream
   * @param waitMillis expected time until it begins to answer, in milliseconds
   * @param reason why it was chosen
   */
  public record Choice(Upstream upstream, double waitMillis, Reason reason) {}

  /** Why an upstream was chosen. */
  public enum Reason {
    /** It reads the shared prefix of the prompt for all routers. */
    PREFIX,
    /** It starts soonest. */
    LEAST_WAIT,
    /** It has the least under way for its slots. */
    LEAST_LOAD
  }

  /**
   * Chooses an upstream.
   *
   * @param usable upstreams that take requests
   * @param tokensPerMilli tokens that one engine reads in a millisecond; 0 if not known
   * @return nothing if all have as much as they may
   */
  public Optional<Choice> choose(
      Collection<Upstream> usable, RequestHead head, double tokensPerMilli, Set<String> tried) {
    List<Upstream> open = new ArrayList<>();
    for (Upstream upstream : usable) {
      if (!tried.contains(upstream.id())) {
        open.add(upstream);
      }
    }
    if (head.promptTokens() > 0) {
      double rate = tokensPerMilli > 0 ? tokensPerMilli : DEFAULT_TOKENS_PER_MILLI;
      return chooseEngine(open, head, rate);
    }
    return chooseLeastLoaded(open);
  }

  private Optional<Choice> chooseLeastLoaded(List<Upstream> open) {
    Upstream best = null;
    double bestLoad = Double.MAX_VALUE;
    for (Upstream upstream : open) {
      double load = load(upstream) + (isNear(upstream) ? 0 : 0.01);
      if (load < bestLoad) {
        best = upstream;
        bestLoad = load;
      }
    }
    if (best == null || bestLoad > 1 + MAX_QUEUED_PER_SLOT) {
      return Optional.empty();
    }
    return Optional.of(new Choice(best, 0, Reason.LEAST_LOAD));
  }

  private Optional<Choice> chooseEngine(List<Upstream> open, RequestHead head, double rate) {
    String prefix = head.sharedPrefix();
    List<Upstream> homes = homes(open, prefix);
    Choice best = null;
    for (Upstream upstream : open) {
      if (load(upstream) > MAX_ENGINE_LOAD) {
        continue;
      }
      boolean home = homes.contains(upstream);
      int toRead = head.promptTokens() - (home ? head.sharedTokens() : 0);
      double millis = (upstream.pendingTokens() + toRead) / rate;
      if (best == null || millis + zoneMillis(upstream) < best.waitMillis()) {
        Reason reason = home ? Reason.PREFIX : Reason.LEAST_WAIT;
        best = new Choice(upstream, millis + zoneMillis(upstream), reason);
      }
    }
    return Optional.ofNullable(best);
  }

  private double zoneMillis(Upstream upstream) {
    return isNear(upstream) ? 0 : OTHER_ZONE_MILLIS;
  }

  private boolean isNear(Upstream upstream) {
    return upstream.report().zone().equals(zone);
  }

  private static double load(Upstream upstream) {
    return upstream.requests() / (double) Math.max(1, upstream.report().slots());
  }

  private static List<Upstream> homes(List<Upstream> open, String prefix) {
    if (prefix.isEmpty()) {
      return List.of();
    }
    List<Upstream> ordered = new ArrayList<>(open);
    ordered.sort(
        java.util.Comparator.comparingLong((Upstream u) -> score(prefix, u))
            .thenComparing(Upstream::id));
    return ordered.subList(0, Math.min(HOMES, ordered.size()));
  }

  private static long score(String prefix, Upstream upstream) {
    return Hashing.komihash5_0().hashCharsToLong(prefix + upstream.id());
  }
}
