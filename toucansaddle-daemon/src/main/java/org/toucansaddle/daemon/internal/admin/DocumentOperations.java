package org.toucansaddle.daemon.internal.admin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.toucansaddle.daemon.gateway.ControlGateway;
import org.toucansaddle.daemon.gateway.ControlGateway.PutOutcome;
import org.toucansaddle.daemon.gateway.DocumentException;
import org.toucansaddle.daemon.gateway.DocumentFormat;
import org.toucansaddle.daemon.gateway.FleetDocument;
import org.toucansaddle.daemon.gateway.StoredDocument;
import org.toucansaddle.daemon.internal.problem.ProblemException;

/** What operators can ask of a gateway's control daemon. Thread-safe. */
public final class DocumentOperations implements AdminService {

  /** As long as operators wait for a command of the product's own fleet. */
  private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(8);

  private static final String COLLECTION = "document";

  private final ControlGateway control;
  private final DocumentFormat format;

  /** Creates the operations of a control daemon whose documents have a format. */
  public DocumentOperations(ControlGateway control, DocumentFormat format) {
    this.control = control;
    this.format = format;
  }

  @Override
  public CompletableFuture<ObjectNode> perform(AdminRequest call) {
    String what = call.method() + " " + call.collection() + "/" + call.name();
    return switch (what) {
      case "PUT " + COLLECTION + "/" -> put(call);
      case "GET " + COLLECTION + "/" -> get();
      case "POST " + COLLECTION + "/check" -> CompletableFuture.completedFuture(check(call));
      default -> throw new ProblemException(AdminProblems.unknownPath(what));
    };
  }

  private static byte[] requireContent(AdminRequest call) {
    if (!call.body().path("content").isTextual()) {
      throw new ProblemException(AdminProblems.badField("content", "the text of a document"));
    }
    return call.body().path("content").asText().getBytes(StandardCharsets.UTF_8);
  }

  private FleetDocument parse(byte[] content) {
    try {
      return format.read(content);
    } catch (DocumentException e) {
      throw new ProblemException(AdminProblems.invalidDocument(e.getMessage()));
    }
  }

  private ObjectNode check(AdminRequest call) {
    return toSummary(parse(requireContent(call)));
  }

  private static ObjectNode toSummary(FleetDocument document) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("version", document.version())
        .put("routes", document.routes().size())
        .put("services", document.services().size())
        .put("accounts", document.accounts().size());
  }

  private CompletableFuture<ObjectNode> put(AdminRequest call) {
    byte[] content = requireContent(call);
    FleetDocument document = parse(content);
    try {
      return control
          .put(content, CONTROL_TIMEOUT)
          .thenApply(outcome -> toAnswer(document, outcome));
    } catch (DocumentException e) {
      throw new ProblemException(AdminProblems.invalidDocument(e.getMessage()));
    }
  }

  private static ObjectNode toAnswer(FleetDocument document, PutOutcome outcome) {
    return switch (outcome) {
      case ACCEPTED -> toSummary(document);
      case VERSION_TAKEN ->
          throw new ProblemException(AdminProblems.versionTaken(document.version()));
      case UNKNOWN -> throw new ProblemException(AdminProblems.documentUnconfirmed());
    };
  }

  private CompletableFuture<ObjectNode> get() {
    return control
        .read(CONTROL_TIMEOUT)
        .thenApply(
            found -> {
              StoredDocument document =
                  found.orElseThrow(
                      () -> new ProblemException(AdminProblems.documentUnconfirmed()));
              if (document.version() == 0) {
                throw new ProblemException(AdminProblems.notFound("document"));
              }
              return JsonNodeFactory.instance
                  .objectNode()
                  .put("version", document.version())
                  .put("content", new String(document.content(), StandardCharsets.UTF_8));
            });
  }
}
