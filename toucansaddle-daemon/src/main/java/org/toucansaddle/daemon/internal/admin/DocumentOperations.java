package org.toucansaddle.daemon.internal.admin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.toucansaddle.daemon.gateway.ControlGateway;
import org.toucansaddle.daemon.gateway.ControlGateway.PutOutcome;
import org.toucansaddle.daemon.gateway.DocumentException;
import org.toucansaddle.daemon.gateway.DocumentFormat;
import org.toucansaddle.daemon.gateway.FleetDocument;
import org.toucansaddle.daemon.gateway.StoredDocument;
import org.toucansaddle.daemon.internal.problem.ProblemException;

/** Admin operations of a gateway's control daemon. Thread-safe. */
public final class DocumentOperations implements AdminService {

  /** Same as the time limit of commands in {@link AdminOperations}. */
  private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(8);

  private static final String COLLECTION = "document";

  private final ControlGateway control;
  private final DocumentFormat format;

  /**
   * Creates the operations.
   *
   * @param control stores and replicates the document
   * @param format format of the document
   */
  public DocumentOperations(ControlGateway control, DocumentFormat format) {
    this.control = control;
    this.format = format;
  }

  @Override
  public CompletableFuture<ObjectNode> perform(AdminRequest request) {
    String operation = request.method() + " " + request.collection() + "/" + request.name();
    return switch (operation) {
      case "PUT " + COLLECTION + "/" -> put(request);
      case "GET " + COLLECTION + "/" -> get();
      case "POST " + COLLECTION + "/check" -> CompletableFuture.completedFuture(check(request));
      default -> throw new ProblemException(AdminProblems.unknownPath(operation));
    };
  }

  private static byte[] requireContent(AdminRequest request) {
    if (!request.body().path("content").isTextual()) {
      throw new ProblemException(AdminProblems.badField("content", "the text of a document"));
    }
    return request.body().path("content").asText().getBytes(StandardCharsets.UTF_8);
  }

  private FleetDocument parse(byte[] content) {
    try {
      return format.read(content);
    } catch (DocumentException e) {
      throw new ProblemException(AdminProblems.invalidDocument(e.getMessage()));
    }
  }

  private ObjectNode check(AdminRequest request) {
    return toSummary(parse(requireContent(request)));
  }

  private static ObjectNode toSummary(FleetDocument document) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("version", document.version())
        .put("routes", document.routes().size())
        .put("services", document.services().size())
        .put("accounts", document.accounts().map(List::size).orElse(0))
        .put("requires_keys", document.requiresKeys());
  }

  private CompletableFuture<ObjectNode> put(AdminRequest request) {
    byte[] content = requireContent(request);
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
            stored -> {
              StoredDocument document =
                  stored.orElseThrow(
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
