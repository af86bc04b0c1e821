package org.toucansaddle.daemon.internal.problem;

import java.util.Collection;

/** Factories of the problems returned to callers. Stateless and thread-safe. */
public final class Problems {

  private Problems() {}

  private static ProblemException notRun(int status, String type, String detail) {
    return new ProblemException(Problem.of(status, type, RunState.NOT_RUN, detail));
  }

  private static ProblemException notRun(
      int status, String type, int retryAfterSeconds, String detail) {
    Problem problem = Problem.of(status, type, RunState.NOT_RUN, detail);
    return new ProblemException(problem.withRetryAfter(retryAfterSeconds));
  }

  /** The API key is missing or unknown. */
  public static ProblemException unknownKey() {
    return notRun(
        401,
        "unknown-key",
        "The bearer key is missing or belongs to no client account. Send 'Authorization: Bearer"
            + " KEY' with a key created by 'toucansaddle account put'.");
  }

  /** The work class header is missing or names an unknown work class. */
  public static ProblemException unknownClass(String name, Collection<String> known) {
    return notRun(
        400,
        "unknown-class",
        "The work class '"
            + name
            + "' does not exist. Send 'X-Work-Class' with one of "
            + known
            + ", or create it with 'toucansaddle class set'.");
  }

  /** The body names a model that does not serve the work class. */
  public static ProblemException unknownModel(String model, String expected) {
    return notRun(
        404,
        "unknown-model",
        "The model '"
            + model
            + "' does not serve this work class. Omit 'model' or send '"
            + expected
            + "'.");
  }

  /** The path names a service that does not serve the work class. */
  public static ProblemException unknownService(String service, String expected) {
    return notRun(
        404,
        "unknown-service",
        "The service '"
            + service
            + "' does not serve this work class. Send the request to /services/"
            + expected
            + "/.");
  }

  /** No endpoint exists at the path. */
  public static ProblemException unknownPath(String path) {
    return notRun(
        404,
        "unknown-path",
        "No endpoint exists at '"
            + path
            + "'. Use POST /v1/completions, POST /v1/chat/completions or /services/NAME/...");
  }

  /** The path does not support the method. */
  public static ProblemException badMethod(String method) {
    return notRun(
        405, "bad-method", "The method " + method + " is not supported here. Send a POST request.");
  }

  /** The body exceeds {@code maxBytes} bytes. */
  public static ProblemException bodyTooLong(long maxBytes) {
    return notRun(
        413,
        "body-too-long",
        "The body is longer than "
            + maxBytes
            + " bytes. Shorten it, or raise limits.max_body_bytes on every daemon.");
  }

  /** The request line and header fields exceed {@code maxBytes} bytes. */
  public static ProblemException headTooLong(long maxBytes) {
    return notRun(
        431,
        "head-too-long",
        "The header fields exceed " + maxBytes + " bytes. Send fewer or shorter header fields.");
  }

  /** The body is not valid JSON or lacks required fields. */
  public static ProblemException badJson(String reason) {
    return notRun(
        400,
        "bad-json",
        "The body is not a valid request ("
            + reason
            + "). Send a JSON object such as {\"prompt\": \"...\", \"max_tokens\": 100}.");
  }

  /** A header has an invalid value. */
  public static ProblemException badHeader(String name, String allowed) {
    return notRun(
        400,
        "bad-header",
        "The header " + name + " is not valid. Send " + allowed + ", or omit it.");
  }

  /** A non-idempotent request has no idempotency key. */
  public static ProblemException idempotencyKeyRequired() {
    return notRun(
        400,
        "idempotency-key-required",
        "Requests of this work class may run only once and need a key. Send 'Idempotency-Key' with"
            + " a value of 1 to 200 characters that is unique for each request and unchanged when"
            + " the request is retried.");
  }

  /** The idempotency key was used for a different request. */
  public static ProblemException idempotencyKeyReused() {
    return notRun(
        422,
        "idempotency-key-reused",
        "This Idempotency-Key was used for a request with another path or body. Send a new key.");
  }

  /** The router has no confirmed configuration yet. */
  public static ProblemException notReady() {
    return notRun(
        503,
        "not-ready",
        1,
        "This router has no confirmed configuration yet. Send the request to another router; the"
            + " load balancer should check /readyz.");
  }

  /** The router is shutting down. */
  public static ProblemException shuttingDown() {
    return notRun(
        503,
        "shutting-down",
        1,
        "This router is shutting down and accepts no new requests. Retry the request; another"
            + " router serves it.");
  }

  /** The queue of the client account is full. */
  public static ProblemException queueFull(int limit, int retryAfterSeconds) {
    return notRun(
        429,
        "queue-full",
        retryAfterSeconds,
        "The account has " + limit + " requests queued, which is the limit. Retry later.");
  }

  /** The latency target cannot be met with the requests that are already queued. */
  public static ProblemException targetCannotBeMet(String target, int retryAfterSeconds) {
    return notRun(
        503,
        "target-cannot-be-met",
        retryAfterSeconds,
        "The target of the work class for "
            + target
            + " cannot be met with the requests that are already queued. Retry later.");
  }

  /** Upstreams failed repeatedly while they ran this request. */
  public static ProblemException quarantined(RunState runState, int retryAfterSeconds) {
    Problem problem =
        Problem.of(
            422,
            "request-quarantined",
            runState,
            "Upstreams failed while they ran this request, so every router refuses it temporarily."
                + " Change its content, or retry later.");
    return new ProblemException(problem.withRetryAfter(retryAfterSeconds));
  }

  /** The claim could not be recorded, so an earlier request with the key may have run. */
  public static ProblemException claimUnavailable(int retryAfterSeconds) {
    Problem problem =
        Problem.of(
            503,
            "claim-unavailable",
            RunState.UNKNOWN,
            "The control replicas did not respond, so this request was not started, and it is"
                + " unknown whether an earlier one with the same Idempotency-Key ran. Retry it with"
                + " the same key.");
    return new ProblemException(problem.withRetryAfter(retryAfterSeconds));
  }

  /** The limit of claims is reached, so the request was not started. */
  public static ProblemException claimsFull(int retryAfterSeconds) {
    return notRun(
        503,
        "claims-full",
        retryAfterSeconds,
        "The request was not started, because the control replicas reached their limit of claims."
            + " Retry later.");
  }

  /** Another request with the same idempotency key is running. */
  public static ProblemException stillRunning(int retryAfterSeconds) {
    Problem problem =
        Problem.of(
            409,
            "still-running",
            RunState.UNKNOWN,
            "The request with this Idempotency-Key is still running. Retry it with the same key to"
                + " get its response.");
    return new ProblemException(problem.withRetryAfter(retryAfterSeconds));
  }

  /** The request was started and its outcome is unknown. */
  public static ProblemException outcomeUnknown() {
    return new ProblemException(
        Problem.of(
            409,
            "outcome-unknown",
            RunState.UNKNOWN,
            "The request with this Idempotency-Key was started and its outcome is unknown; it will"
                + " not run again. Check in the service whether it took effect before sending a new"
                + " key."));
  }

  /** The upstream failed and the router does not retry the request. */
  public static ProblemException upstreamFailed(RunState runState, String reason) {
    Problem problem =
        Problem.of(
            502,
            "upstream-failed",
            runState,
            "The upstream failed (" + reason + "). Retry the request if it may run twice.");
    return new ProblemException(problem.withRetryAfter(1));
  }

  /** The response was not complete at its deadline. */
  public static ProblemException deadlineExceeded(RunState runState) {
    Problem problem =
        Problem.of(
            504,
            "deadline-exceeded",
            runState,
            "The response was not complete at its deadline. Retry later, or relax the target of the"
                + " work class.");
    return new ProblemException(problem.withRetryAfter(1));
  }
}
