package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.toucansaddle.daemon.gateway.Route;
import org.toucansaddle.daemon.gateway.WeightedService;
import org.toucansaddle.daemon.internal.gateway.origin.OriginLookup.Answer;
import org.toucansaddle.daemon.internal.gateway.origin.StreamOrigin;

/**
 * A request that takes up a stream which began in an earlier request, maybe at another router.
 *
 * <p>Such a stream may go on only at the service and software version that began it. Immutable and
 * thread-safe.
 */
final class StreamReturn {

  private final RelayContext context;
  private final RequestHead head;
  private final Route route;

  /**
   * Where a stream may go on. Immutable.
   *
   * @param origin where it began; empty if it is refused
   * @param refusal response if it cannot go on
   */
  record Found(Optional<StreamOrigin> origin, Optional<ErrorResponse> refusal) {

    private static Found at(StreamOrigin origin) {
      return new Found(Optional.of(origin), Optional.empty());
    }

    private static Found refused(ErrorResponse error) {
      return new Found(Optional.empty(), Optional.of(error));
    }
  }

  StreamReturn(RelayContext context, RequestHead head, Route route) {
    this.context = context;
    this.head = head;
    this.route = route;
  }

  /** Returns whether a request takes up a stream. */
  static boolean isReturn(RequestHead head, Route route) {
    return route.isStream()
        && route.resumable()
        && !(head.resumes().isEmpty() && head.lastEventId().isEmpty());
  }

  /** Finds where the stream began; the future may complete on any thread and never fails. */
  CompletableFuture<Found> findOrigin() {
    return context
        .originLookup()
        .find(head.resumes(), route.timeoutMillis())
        .thenApply(this::decide);
  }

  private Found decide(Answer answer) {
    return switch (answer.outcome()) {
      case KNOWN -> decideAt(answer.origin().orElseThrow());
      case UNKNOWN -> decideWithoutOrigin(answer.versions());
      case INCONCLUSIVE -> Found.refused(ErrorResponse.originUnknown());
      case UNANSWERED -> refuseForNow();
    };
  }

  private Found refuseForNow() {
    long delayMillis = RetryAfter.randomDelayMillis(route.targetMillis());
    return Found.refused(ErrorResponse.originUnanswered(delayMillis));
  }

  private Found decideAt(StreamOrigin origin) {
    boolean served =
        route.services().stream().anyMatch(service -> service.service().equals(origin.service()))
            && context.state().upstreams().ready(origin.service()).stream()
                .filter(upstream -> !upstream.isLeaving())
                .anyMatch(
                    upstream ->
                        upstream.report().softwareVersion().equals(origin.softwareVersion()));
    return served ? Found.at(origin) : Found.refused(ErrorResponse.originGone(origin));
  }

  /** Lets the stream go on where it must have begun; refuses it if there are several places. */
  private Found decideWithoutOrigin(Set<StreamOrigin> versions) {
    Set<StreamOrigin> possible = new HashSet<>();
    for (WeightedService weighted : route.services()) {
      String service = weighted.service();
      if (weighted.weight() > 0) {
        versions.stream().filter(v -> v.service().equals(service)).forEach(possible::add);
        for (String version : context.state().softwareVersions(service)) {
          possible.add(new StreamOrigin(service, version));
        }
      }
    }
    return switch (possible.size()) {
      case 0 -> refuseForNow();
      case 1 -> Found.at(possible.iterator().next());
      default -> Found.refused(ErrorResponse.originUnknown());
    };
  }
}
