package org.toucansaddle.daemon.gateway;

/** Reads configuration documents. Thread-safe. */
@FunctionalInterface
public interface DocumentFormat {

  /**
   * Reads and checks a whole document.
   *
   * @throws DocumentException if the document cannot be read in full or contradicts itself
   */
  FleetDocument read(byte[] content) throws DocumentException;
}
