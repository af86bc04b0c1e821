package org.toucansaddle.http;

/** A request in progress. Thread-safe. */
public interface HttpExchange {

  /**
   * Cancels the request and closes its connection.
   *
   * <p>Unless the exchange has already ended, its handler receives an {@link HttpException} of kind
   * {@link HttpException.Kind#CANCELLED}.
   */
  void cancel();
}
