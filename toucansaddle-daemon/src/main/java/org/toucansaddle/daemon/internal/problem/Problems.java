package org.toucansaddle.daemon.internal.problem;

import java.util.Collection;

/** Builds every error that callers see; each detail names the remedy. Thread-safe. */
public final class Problems {

  private Problems() {}

  private static ProblemException notRun(int status, String type, String detail) {
    return new ProblemException(Problem.of(status, type, RunState.NOT_RUN, detail));
  }

  private static ProblemException notRun(int status, String type, int retryAfter, String detail) {
    Problem problem = Problem.of(status, type, RunState.NOT_RUN, detail);
    return new ProblemException(problem.withRetryAfter(retryAfter));
  }

  /** The key is missing or unknown. */
  public static ProblemException unknownKey() {
    return notRun(
        401,
        "unknown-key",
        "The bearer key is missing or names no client account. Send 'Authorization: Bearer KEY'"
            + " with a key made by 'toucansaddle account put'.");
  }

  /** The class header is missing or names no class. */
  public static ProblemException unknownClass(String name, Collection<String> known) {
    return notRun(
        400,
        "unknown-class",
        "The class of work '"
            + name
            + "' does not exist. Send 'X-Work-Class' with one of "
            + known
            + ", or create it with 'toucansaddle class set'.");
  }

  /** The body names a model other than the class's. */
  public static ProblemException unknownModel(String model, String expected) {
    return notRun(
        404,
        "unknown-model",
        "The model '"
            + model
            + "' does not serve this class. Leave 'model' out or send '"
            + expected
            + "'.");
  }

  /** The path names a service other than the class's. */
  public static ProblemException unknownService(String service, String expected) {
    return notRun(
        404,
        "unknown-service",
        "The service '"
            + service
            + "' does not serve this class. Send the request to /services/"
            + expected
            + "/.");
  }

  /** The path is not served. */
  public static ProblemException unknownPath(String path) {
    return notRun(
        404,
        "unknown-path",
        "Nothing is served at '"
            + path
            + "'. Use POST /v1/completions, POST /v1/chat/completions or /services/NAME/...");
  }

  /** The method is not served at the path. */
  public static ProblemException badMethod(String method) {
    return notRun(
        405, "bad-method", "The method " + method + " is not served here. Send a POST request.");
  }

  /** The body is too long. */
  public static ProblemException bodyTooLong(long max) {
    return notRun(
        413,
        "body-too-long",
        "The body is longer than "
            + max
            + " bytes. Shorten it, or raise limits.max_body_bytes at every daemon.");
  }

  /** The request line and header fields are longer than the limit. */
  public static ProblemException headTooLong(long max) {
    return notRun(
        431,
        "head-too-long",
        "The header fields are longer than " + max + " bytes. Send fewer or shorter ones.");
  }

  /** The body is not the expected JSON. */
  public static ProblemException badJson(String why) {
    return notRun(
        400,
        "bad-json",
        "The body is not a valid request ("
            + why
            + "). Send a JSON object such as {\"prompt\": \"...\", \"max_tokens\": 100}.");
  }

  /** A header has a value that is not allowed. */
  public static ProblemException badHeader(String name, String allowed) {
    return notRun(
        400,
        "bad-header",
        "The header " + name + " is not valid. Send " + allowed + ", or leave it out.");
  }

  /** A non-idempotent call came without a key. */
  public static ProblemException idempotencyKeyRequired() {
    return notRun(
        400,
        "idempotency-key-required",
        "Calls of this class may run only once, so they need a key. Send 'Idempotency-Key' with a"
            + " value of 1 to 200 characters that is new for each call and the same when it is"
            + " sent again.");
  }

  /** The key was used for another call. */
  public static ProblemException idempotencyKeyReused() {
    return notRun(
        422,
        "idempotency-key-reused",
        "This Idempotency-Key was used for a call with another path or body. Send a new key.");
  }

  /** The router has no confirmed configuration yet. */
  public static ProblemException notReady() {
    return notRun(
        503,
        "not-ready",
        1,
        "This router has no confirmed configuration yet. Send the request to another router; the"
            + " balancer should follow /readyz.");
  }

  /** The router shuts down. */
  public static ProblemException shuttingDown() {
    return notRun(
        503,
        "shutting-down",
        1,
        "This router shuts down and takes no new work. Send the request again; another router"
            + " serves it.");
  }

  /** The account's queue is full. */
  public static ProblemException queueFull(int limit, int retryAfter) {
    return notRun(
        429,
        "queue-full",
        retryAfter,
        "The account has " + limit + " requests waiting, which is the most. Come back later.");
  }

  /** The target cannot be met. */
  public static ProblemException targetCannotBeMet(String what, int retryAfter) {
    return notRun(
        503,
        "target-cannot-be-met",
        retryAfter,
        "The class's target for "
            + what
            + " cannot be met with the requests that wait already. Come back later.");
  }

  /** Upstreams die of this request. */
  public static ProblemException quarantined(RunState run, int retryAfter) {
    Problem problem =
        Problem.of(
            422,
            "request-quarantined",
            run,
            "Upstreams failed while they ran this request, so it is refused for a time at every"
                + " router. Change its content, or come back later.");
    return new ProblemException(problem.withRetryAfter(retryAfter));
  }

  /** The claim could not be recorded, so it is not known whether an earlier sending ran. */
  public static ProblemException claimUnavailable(int retryAfter) {
    Problem problem =
        Problem.of(
            503,
            "claim-unavailable",
            RunState.UNKNOWN,
            "The control replicas did not answer, so this sending was not started, and it is not"
                + " known whether an earlier one with the same Idempotency-Key ran. Send it again"
                + " with the same key.");
    return new ProblemException(problem.withRetryAfter(retryAfter));
  }

  /** No more claims fit, so the call was not started. */
  public static ProblemException claimsFull(int retryAfter) {
    return notRun(
        503,
        "claims-full",
        retryAfter,
        "The call was not started, because the control replicas hold as many claims as they may."
            + " Come back later.");
  }

  /** Another execution of the call is under way. */
  public static ProblemException stillRunning(int retryAfter) {
    Problem problem =
        Problem.of(
            409,
            "still-running",
            RunState.UNKNOWN,
            "The call with this Idempotency-Key is being run. Send it again with the same key to"
                + " get its answer.");
    return new ProblemException(problem.withRetryAfter(retryAfter));
  }

  /** The call was started and its outcome is not known. */
  public static ProblemException outcomeUnknown() {
    return new ProblemException(
        Problem.of(
            409,
            "outcome-unknown",
            RunState.UNKNOWN,
            "The call with this Idempotency-Key was started and its outcome was lost; it will not"
                + " run again. Look in the service whether it took effect before sending a new"
                + " key."));
  }

  /** The upstream failed and the request may not be tried again. */
  public static ProblemException upstreamFailed(RunState run, String why) {
    Problem problem =
        Problem.of(
            502,
            "upstream-failed",
            run,
            "The upstream failed (" + why + "). Send the request again if it may run twice.");
    return new ProblemException(problem.withRetryAfter(1));
  }

  /** The answer was not whole by its target. */
  public static ProblemException deadlineExceeded(RunState run) {
    Problem problem =
        Problem.of(
            504,
            "deadline-exceeded",
            run,
            "The answer was not whole in time. Come back later, or relax the target of the class.");
    return new ProblemException(problem.withRetryAfter(1));
  }
}
