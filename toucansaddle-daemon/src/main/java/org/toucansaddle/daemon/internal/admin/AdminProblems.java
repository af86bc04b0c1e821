package org.toucansaddle.daemon.internal.admin;

import org.toucansaddle.coordination.zones.ZoneOrders;
import org.toucansaddle.daemon.internal.problem.Problem;
import org.toucansaddle.daemon.internal.problem.RunState;
import org.toucansaddle.protocol.generated.CommandResult;

/**
 * Builds the problem responses of the admin interface; each detail names the remedy.
 *
 * <p>Stateless and thread-safe.
 */
final class AdminProblems {

  private AdminProblems() {}

  private static Problem notRun(int status, String type, String detail) {
    return Problem.of(status, type, RunState.NOT_RUN, detail);
  }

  static Problem unknownToken() {
    return notRun(
        401,
        "unknown-token",
        "The operators' token is missing or wrong. Send it with 'toucansaddle --token-file FILE';"
            + " its digest is in admin.token_digest of the daemon's settings.");
  }

  static Problem unknownPath(String path) {
    return notRun(
        404, "unknown-path", "Nothing is served at '" + path + "'. See docs/OPERATIONS.md.");
  }

  static Problem badBody(String reason) {
    return notRun(400, "bad-body", "The body is not valid (" + reason + "). Send a JSON object.");
  }

  static Problem badField(String name, String allowed) {
    return notRun(
        400, "bad-field", "The field '" + name + "' is not valid. Allowed: " + allowed + ".");
  }

  static Problem notFound(String resource) {
    return notRun(
        404, "not-found", "There is no " + resource + ". List what exists and try again.");
  }

  static Problem conflict(CommandResult result) {
    return notRun(409, "conflict", result.getMessage());
  }

  static Problem invalid(CommandResult result) {
    return notRun(400, "invalid", result.getMessage());
  }

  static Problem controlUnavailable(String detail) {
    return Problem.of(503, "control-unavailable", RunState.UNKNOWN, detail).withRetryAfter(1);
  }

  static Problem invalidDocument(String reason) {
    return notRun(400, "invalid-document", "The document was rejected: " + reason + ".");
  }

  static Problem versionTaken(long version) {
    return notRun(
        409,
        "version-taken",
        "Version "
            + version
            + " is taken by other content. Read the document in force, then send a"
            + " higher version.");
  }

  static Problem tooManyZones() {
    return notRun(
        409,
        "too-many-zones",
        ZoneOrders.MAX_OUT_OF_SERVICE
            + " zones are out of service already. Take one back that is no longer used.");
  }

  static Problem zonesUnconfirmed() {
    return controlUnavailable(
        "No quorum of the control daemons responded in time. Send the same order again.");
  }

  static Problem documentUnconfirmed() {
    return controlUnavailable(
        "No quorum of the control daemons responded in time. Send the same document again.");
  }
}
