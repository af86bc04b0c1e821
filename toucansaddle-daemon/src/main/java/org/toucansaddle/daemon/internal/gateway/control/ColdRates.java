package org.toucansaddle.daemon.internal.gateway.control;

import java.util.List;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.daemon.gateway.DocumentException;
import org.toucansaddle.daemon.gateway.DocumentFormat;
import org.toucansaddle.daemon.gateway.ServiceDefinition;
import org.toucansaddle.daemon.gateway.ServiceDefinition.WarmUp;
import org.toucansaddle.daemon.gateway.StoredDocument;

/**
 * Requests a second that a cold upstream of a service takes; 0 if none is ever cold.
 *
 * <p>A document is read once, and only if a router asks, so that the replica's thread never waits
 * for it. Thread-safe.
 */
public final class ColdRates implements ToDoubleFunction<String> {

  private static final Logger LOG = LoggerFactory.getLogger(ColdRates.class);

  private final DocumentFormat format;
  private final Supplier<StoredDocument> document;
  private long readVersion;
  private List<ServiceDefinition> services = List.of();

  /** Creates rates of the document in force, which {@code document} supplies. */
  public ColdRates(DocumentFormat format, Supplier<StoredDocument> document) {
    this.format = format;
    this.document = document;
  }

  @Override
  public synchronized double applyAsDouble(String service) {
    StoredDocument current = document.get();
    if (current.version() != readVersion) {
      readVersion = current.version();
      services = readServices(current);
    }
    return services.stream()
        .filter(definition -> definition.name().equals(service))
        .flatMap(definition -> definition.warmUp().stream())
        .mapToDouble(WarmUp::requestsPerSecond)
        .findFirst()
        .orElse(0);
  }

  private List<ServiceDefinition> readServices(StoredDocument current) {
    try {
      return format.read(current.content()).services();
    } catch (DocumentException e) {
      LOG.error(
          "configuration {} cannot be read, so cold upstreams get no requests: {}",
          current.version(),
          e.getMessage());
      return List.of();
    }
  }
}
