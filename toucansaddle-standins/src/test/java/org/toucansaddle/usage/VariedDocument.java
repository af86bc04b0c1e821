package org.toucansaddle.usage;

import java.util.List;
import java.util.Random;

/**
 * A configuration in TOML whose routes, keys and limits vary, for two services. Immutable.
 *
 * @param hasRoutes whether it has the routes {@link #ROUTES}
 * @param deskWeight weight of the service {@code desk}, which is absent if it is 0
 * @param bureauWeight weight of the service {@code bureau}, which is absent if it is 0
 * @param key the only key of the client account
 * @param timeoutMillis time limit of the routes
 * @param idleTimeoutMillis time after which a connection without a request is closed
 * @param maxHeaderBytes maximum size of a request head
 * @param maxBodyBytes maximum size of a request body
 * @param addedRoutes number of further routes
 */
record VariedDocument(
    boolean hasRoutes,
    int deskWeight,
    int bureauWeight,
    String key,
    int timeoutMillis,
    int idleTimeoutMillis,
    int maxHeaderBytes,
    int maxBodyBytes,
    int addedRoutes) {

  /** Names of the routes; each one's prefix is its name. */
  static final List<String> ROUTES = List.of("once", "repeatable", "stream-once", "stream");

  /** Longest time limit that a random document sets. */
  static final int LONG_TIMEOUT_MILLIS = 9_000;

  /** Shortest time limit that a random document sets. */
  static final int SHORT_TIMEOUT_MILLIS = 6_000;

  /** Shortest idle timeout that a document sets. */
  static final int SHORT_IDLE_TIMEOUT_MILLIS = 400;

  /** Target above the pauses of the tests, so that no upstream counts as stuck. */
  private static final int TARGET_MILLIS = 2_000;

  private static final int LONG_IDLE_TIMEOUT_MILLIS = 15_000;
  private static final int MAX_HEADER_BYTES = 16 << 10;
  private static final int MAX_BODY_BYTES = 4 << 20;

  /** Sizes that no request of the tests has. */
  private static final int TINY_HEADER_BYTES = 20;

  private static final int TINY_BODY_BYTES = 1;
  private static final int MANY_ROUTES = 500;

  /** Returns a document that allows all requests of the tests and sends them to one service. */
  static VariedDocument initial() {
    return new VariedDocument(
        true,
        1,
        0,
        LocalGateway.API_KEY,
        LONG_TIMEOUT_MILLIS,
        LONG_IDLE_TIMEOUT_MILLIS,
        MAX_HEADER_BYTES,
        MAX_BODY_BYTES,
        0);
  }

  /** Returns a document with several changes; most allow most requests of the tests. */
  static VariedDocument random(Random random) {
    int service = random.nextInt(3);
    return new VariedDocument(
        random.nextInt(6) > 0,
        service > 0 ? 1 + random.nextInt(9) : 0,
        service < 2 ? 1 + random.nextInt(9) : 0,
        random.nextInt(6) > 0 ? LocalGateway.API_KEY : "other-key",
        random.nextBoolean() ? LONG_TIMEOUT_MILLIS : SHORT_TIMEOUT_MILLIS,
        random.nextBoolean() ? LONG_IDLE_TIMEOUT_MILLIS : SHORT_IDLE_TIMEOUT_MILLIS,
        random.nextInt(8) > 0 ? MAX_HEADER_BYTES : TINY_HEADER_BYTES,
        random.nextInt(6) > 0 ? MAX_BODY_BYTES : TINY_BODY_BYTES,
        random.nextInt(3) > 0 ? 0 : MANY_ROUTES);
  }

  VariedDocument withoutRoutes() {
    return new VariedDocument(
        false,
        deskWeight,
        bureauWeight,
        key,
        timeoutMillis,
        idleTimeoutMillis,
        maxHeaderBytes,
        maxBodyBytes,
        addedRoutes);
  }

  VariedDocument withServices(int newDeskWeight, int newBureauWeight) {
    return new VariedDocument(
        hasRoutes,
        newDeskWeight,
        newBureauWeight,
        key,
        timeoutMillis,
        idleTimeoutMillis,
        maxHeaderBytes,
        maxBodyBytes,
        addedRoutes);
  }

  VariedDocument withKey(String newKey) {
    return new VariedDocument(
        hasRoutes,
        deskWeight,
        bureauWeight,
        newKey,
        timeoutMillis,
        idleTimeoutMillis,
        maxHeaderBytes,
        maxBodyBytes,
        addedRoutes);
  }

  VariedDocument withTimeouts(int newTimeoutMillis, int newIdleTimeoutMillis) {
    return new VariedDocument(
        hasRoutes,
        deskWeight,
        bureauWeight,
        key,
        newTimeoutMillis,
        newIdleTimeoutMillis,
        maxHeaderBytes,
        maxBodyBytes,
        addedRoutes);
  }

  VariedDocument withTinyLimits() {
    return new VariedDocument(
        hasRoutes,
        deskWeight,
        bureauWeight,
        key,
        timeoutMillis,
        idleTimeoutMillis,
        TINY_HEADER_BYTES,
        TINY_BODY_BYTES,
        addedRoutes);
  }

  VariedDocument withManyRoutes() {
    return new VariedDocument(
        hasRoutes,
        deskWeight,
        bureauWeight,
        key,
        timeoutMillis,
        idleTimeoutMillis,
        maxHeaderBytes,
        maxBodyBytes,
        MANY_ROUTES);
  }

  /** Returns the document as the content of a version. */
  String toToml(long version) {
    StringBuilder toml = new StringBuilder();
    toml.append("version = %d\n".formatted(version))
        .append("[limits]\n")
        .append("max_header_bytes = %d\n".formatted(maxHeaderBytes))
        .append("max_body_bytes = %d\n".formatted(maxBodyBytes))
        .append("idle_timeout_millis = %d\n".formatted(idleTimeoutMillis))
        .append("[[accounts]]\nname = \"captain\"\nkeys = [\"%s\"]\n".formatted(key));
    for (String service : services()) {
      toml.append("[[services]]\nname = \"%s\"\n".formatted(service));
    }
    if (hasRoutes) {
      ROUTES.forEach(name -> toml.append(routeToml(name)));
    }
    for (int index = 0; index < addedRoutes; index++) {
      toml.append(routeToml("added-" + index));
    }
    return toml.toString();
  }

  private List<String> services() {
    if (deskWeight == 0) {
      return List.of("bureau");
    }
    return bureauWeight == 0 ? List.of("desk") : List.of("desk", "bureau");
  }

  private String routeToml(String name) {
    String repetition =
        name.startsWith("stream") ? "stream" : name.equals("repeatable") ? "repeatable" : "once";
    StringBuilder toml = new StringBuilder("[[routes]]\n");
    toml.append("name = \"%s\"\nhost = \"%s\"\n".formatted(name, LocalGateway.HOST))
        .append("path_prefix = \"/%s/\"\n".formatted(name))
        .append("repetition = \"%s\"\n".formatted(repetition))
        .append("timeout_millis = %d\n".formatted(timeoutMillis))
        .append("target_millis = %d\n".formatted(TARGET_MILLIS))
        .append("max_attempts = 2\n")
        .append("resumable = %b\n".formatted(name.equals("stream")));
    for (String service : services()) {
      int weight = service.equals("desk") ? deskWeight : bureauWeight;
      toml.append("[[routes.services]]\nname = \"%s\"\nweight = %d\n".formatted(service, weight));
    }
    return toml.toString();
  }
}
