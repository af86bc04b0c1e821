package org.toucansaddle.standins.cost;

import io.undertow.Undertow;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.toucansaddle.daemon.gateway.UpstreamReport;
import org.toucansaddle.standins.fleet.PortAllocator;

/**
 * Upstreams that answer calls at once and streams in events at a fixed interval. Thread-safe.
 *
 * <p>Like real ones they send each event as a chunk of its own.
 */
final class CostUpstreams implements AutoCloseable {

  private static final int COUNT_PER_SERVICE = 60;
  private static final int EVENTS = 20;
  private static final int EVENT_INTERVAL_MILLIS = 10;
  private static final HttpString ID = new HttpString("X-Request-Id");
  private static final HttpString SEAL = new HttpString("X-Answer-Seal");

  private final Undertow server;
  private final List<UpstreamReport> reports = new ArrayList<>();

  CostUpstreams(PortAllocator ports) {
    Undertow.Builder builder = Undertow.builder().setIoThreads(1).setWorkerThreads(1);
    for (String service : List.of(CostDocument.ENGINES, CostDocument.DESK)) {
      for (int i = 0; i < COUNT_PER_SERVICE; i++) {
        int port = ports.allocate();
        builder.addHttpListener(port, "127.0.0.1");
        reports.add(
            new UpstreamReport(
                service + i,
                service,
                "127.0.0.1:" + port,
                "z1",
                CostDocument.ENGINE_SLOTS,
                UpstreamReport.State.READY,
                1,
                1));
      }
    }
    server = builder.setHandler(CostUpstreams::answer).build();
    server.start();
  }

  /** Returns the reports of all upstreams, with a sequence number. */
  List<UpstreamReport> reports(long sequence) {
    return reports.stream()
        .map(
            r ->
                new UpstreamReport(
                    r.id(), r.service(), r.address(), r.zone(), r.slots(), r.state(), 1, sequence))
        .toList();
  }

  private static void answer(HttpServerExchange exchange) {
    String id = exchange.getRequestHeaders().getFirst(ID);
    exchange.getResponseHeaders().put(ID, id == null ? "" : id);
    exchange.getResponseHeaders().put(SEAL, "3e1b.07.5a2.600.0.c9f2a4d1");
    if (!exchange.getRequestPath().startsWith("/stream/")) {
      exchange.getResponseSender().send("answer ".repeat(30));
      return;
    }
    exchange.getResponseHeaders().put(new HttpString("Content-Type"), "text/event-stream");
    exchange.dispatch(SameThreadExecutor.INSTANCE, () -> sendEvent(exchange, 1));
  }

  private static void sendEvent(HttpServerExchange exchange, int number) {
    String event = "id: " + number + "\ndata: token-" + "x".repeat(40) + "\n\n";
    Sender sender = exchange.getResponseSender();
    if (number == EVENTS) {
      sender.send(event);
      return;
    }
    sender.send(
        event,
        new IoCallback() {
          @Override
          public void onComplete(HttpServerExchange sent, Sender same) {
            sent.getIoThread()
                .executeAfter(
                    () -> sendEvent(sent, number + 1),
                    EVENT_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
          }

          @Override
          public void onException(HttpServerExchange failed, Sender same, IOException exception) {
            failed.endExchange();
          }
        });
  }

  @Override
  public void close() {
    server.stop();
  }
}
