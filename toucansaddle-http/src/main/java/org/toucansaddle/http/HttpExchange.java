package org.toucansaddle.http;

/** A request on its way. Thread-safe. */
public interface HttpExchange {

  /**
   * Gives the request up and closes its connection; the handler gets a {@link
   * HttpException.Kind#CANCELLED} failure unless it has already ended.
   */
  void cancel();
}
