package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.List;

/**
 * Where a router would send a request now, and why. Immutable. Ages and times are in milliseconds;
 * -1 stands for a value that does not exist or has no bound.
 *
 * @param router name of the router that answers
 * @param documentVersion version of the configuration that the answer is based on
 * @param zonesRevision revision of the orders that take zones out of service
 * @param updateAgeMillis time since the latest update of a followed control daemon
 * @param account client account; empty if the route or the configuration needs none
 * @param placement who is asked first: {@code router} or {@code control daemon}; in the second case
 *     the answer says what the router decides if no control daemon does
 * @param lagMillis average time by which the router reads late; it refuses requests if it is long
 * @param services services of the route, in its order
 */
public record RouteExplanation(
    String router,
    long documentVersion,
    long zonesRevision,
    List<String> zonesOutOfService,
    long updateAgeMillis,
    String method,
    String host,
    String path,
    String route,
    String account,
    String placement,
    double lagMillis,
    List<ServicePart> services) {

  /**
   * A service of the route. Immutable.
   *
   * @param weight weight in the route
   * @param probability probability that the request goes to this service
   * @param first upstreams among which the first is drawn; empty if none takes the request
   * @param next upstreams among which the next is drawn if the most likely first one fails; empty
   *     if there is none or the route allows no further attempt
   * @param upstreams all upstreams of the service
   */
  public record ServicePart(
      String service,
      int weight,
      double probability,
      Verdict admission,
      List<Candidate> first,
      List<Candidate> next,
      List<UpstreamState> upstreams) {}

  /**
   * Whether the request is admitted. Immutable.
   *
   * @param outcome {@code admitted}, {@code refused}, or {@code drawn} if only a part of such
   *     requests is admitted
   * @param part part that is admitted, from 0 to 1
   * @param refusal type of the response if the request is refused; empty if it cannot be
   * @param detail detail of that response
   * @param usage usage of the account and the engines
   */
  public record Verdict(String outcome, double part, String refusal, String detail, Usage usage) {}

  /**
   * Use of the engines, with the request itself. Immutable.
   *
   * @param utilisation recently admitted work as a fraction of the capacity of the engines
   * @param poolFull whether accounts share less than the rated capacity
   * @param demandedTokens tokens that the account demands in the window of the shares
   * @param admittedTokens tokens of those that were admitted
   * @param fairShareTokens fair share of the account
   * @param ageMillis age of the other routers' usage
   */
  public record Usage(
      double utilisation,
      boolean poolFull,
      double demandedTokens,
      double admittedTokens,
      double fairShareTokens,
      long ageMillis) {}

  /**
   * An upstream that may be drawn. Immutable.
   *
   * @param reason why it may be drawn
   * @param probability probability that it is drawn
   */
  public record Candidate(
      String upstream,
      String reason,
      double probability,
      double expectedQueueMillis,
      double expectedFirstTokenMillis,
      int prefillTokens) {}

  /**
   * What the router knows of an upstream. Immutable.
   *
   * @param obstacle why it does not get the request; empty if it may
   * @param requests requests of all routers there, as far as known
   * @param takenPart part of this router's recent requests that it took
   * @param pace requests that all routers may have there
   * @param pauseMillis remaining time of the pause that it asked for
   * @param warmUpMillis remaining warm-up as reported
   * @param requestsPerSecond limit that it named, for all routers
   */
  public record UpstreamState(
      String id,
      String zone,
      String obstacle,
      String detail,
      int requests,
      int slots,
      long pendingTokens,
      long memoryTokens,
      double takenPart,
      double pace,
      long pauseMillis,
      long warmUpMillis,
      double requestsPerSecond,
      Ages ages) {}

  /**
   * Ages of what is known of an upstream. Immutable.
   *
   * @param reportMillis age of its last report
   * @param loadMillis age of the load that it named in a response
   * @param limitMillis age of the response that named its limit
   */
  public record Ages(long reportMillis, long loadMillis, long limitMillis) {}
}
