package org.toucansaddle.daemon.gateway;

/** Parser for one format of configuration documents. Implementations are thread-safe. */
@FunctionalInterface
public interface DocumentFormat {

  /**
   * Parses and validates a document.
   *
   * @throws DocumentException if the document cannot be parsed or is inconsistent
   */
  FleetDocument read(byte[] content) throws DocumentException;
}
