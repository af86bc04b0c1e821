package org.toucansaddle.usage;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.toucansaddle.daemon.gateway.UpstreamReport;
import org.toucansaddle.daemon.gateway.UpstreamReport.State;

/**
 * Upstreams of a {@link LocalGateway} on plain sockets, whose answers are the bytes that a script
 * writes.
 *
 * <p>Each upstream reports to all control daemons every 300 ms, and whenever an upstream starts or
 * changes its state. Thread-safe.
 */
final class ScriptedUpstreams implements AutoCloseable {

  private static final int REPORT_MILLIS = 300;

  /** Slots that each upstream reports: more than any test uses, so that none is refused as busy. */
  private static final int SLOTS = 64;

  private static final int DELIVERY_MILLIS = 100;

  /** Bytes that a slow upstream reads at a time, and holds unread at most. */
  private static final int SLOW_READ_BYTES = 64 << 10;

  /** Writes the answer to one request; the connection stays open unless the script closes it. */
  @FunctionalInterface
  interface Script {
    void answer(Exchange exchange) throws IOException;
  }

  private final LocalGateway gateway;
  private final Script script;
  private final List<ScriptedUpstream> upstreams = new CopyOnWriteArrayList<>();
  private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
  private final AtomicLong sequence = new AtomicLong();
  private volatile int readPauseMillis;
  private volatile boolean answersBeforeBody;
  private final ExecutorService connections = Executors.newCachedThreadPool();
  private final ScheduledExecutorService reports = Executors.newSingleThreadScheduledExecutor();

  /** Starts upstreams of the service that all routes of a default document use. */
  ScriptedUpstreams(LocalGateway gateway, int count, Script script) throws IOException {
    this(gateway, "desk", count, script);
  }

  /** Starts upstreams of one service without a software version. */
  ScriptedUpstreams(LocalGateway gateway, String service, int count, Script script)
      throws IOException {
    this(gateway, script);
    for (int index = 0; index < count; index++) {
      start(service + index, service, "");
    }
  }

  /** Creates a set without upstreams. */
  ScriptedUpstreams(LocalGateway gateway, Script script) {
    this.gateway = gateway;
    this.script = script;
    reports.scheduleWithFixedDelay(this::report, 0, REPORT_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Starts an upstream that is ready. */
  void start(String id, String service, String softwareVersion) throws IOException {
    start(id, service, softwareVersion, "z1");
  }

  /** Starts an upstream that is ready, in an availability zone. */
  void start(String id, String service, String softwareVersion, String zone) throws IOException {
    upstreams.add(new ScriptedUpstream(id, service, softwareVersion, zone));
    report();
  }

  /** Lets an upstream report that it is draining; it still answers requests. */
  void drain(String id) {
    find(id).state = State.DRAINING;
    report();
  }

  /** Lets the upstreams pause before each part of a body that they read; 0 for no pause. */
  void readSlowly(int pauseMillis) {
    readPauseMillis = pauseMillis;
  }

  /** Lets the upstreams answer as soon as they have read the head; they leave the body unread. */
  void answerBeforeBody() {
    answersBeforeBody = true;
  }

  /** Deregisters an upstream and stops it. */
  void stop(String id) throws IOException {
    ScriptedUpstream upstream = find(id);
    upstreams.remove(upstream);
    for (int index = 0; index < LocalGateway.CONTROL_COUNT; index++) {
      gateway.control(index).deregister(id);
    }
    upstream.listener.close();
  }

  private ScriptedUpstream find(String id) {
    return upstreams.stream().filter(u -> u.id.equals(id)).findFirst().orElseThrow();
  }

  private void report() {
    long current = sequence.incrementAndGet();
    upstreams.forEach(upstream -> gateway.reportToAll(upstream.createReport(current)));
  }

  @Override
  public void close() throws IOException {
    reports.shutdownNow();
    for (ScriptedUpstream upstream : upstreams) {
      upstream.listener.close();
    }
    for (Socket socket : openSockets) {
      socket.close();
    }
    connections.shutdownNow();
  }

  /** A request that an upstream received, and the connection on which it is answered. */
  static final class Exchange {
    private final ScriptedUpstream upstream;
    private final String path;
    private final Map<String, String> headers;
    private final String body;
    private final Socket socket;

    private Exchange(
        ScriptedUpstream upstream,
        String path,
        Map<String, String> headers,
        String body,
        Socket socket) {
      this.upstream = upstream;
      this.path = path;
      this.headers = headers;
      this.body = body;
      this.socket = socket;
    }

    String path() {
      return path;
    }

    /** Returns the id of the upstream that received the request. */
    String upstream() {
      return upstream.id;
    }

    /** Returns the service of the upstream that received the request. */
    String service() {
      return upstream.service;
    }

    /** Returns the software version of the upstream that received the request. */
    String softwareVersion() {
      return upstream.softwareVersion;
    }

    /** Returns a header of the request; empty if it is absent. */
    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    /** Returns the body of the request; empty if it has none. */
    String body() {
      return body;
    }

    /** Writes the head of an answer, with the fields that a gateway requires of an upstream. */
    void writeHead(int status, String... fields) throws IOException {
      StringBuilder head = new StringBuilder("HTTP/1.1 ").append(status).append(" Status\r\n");
      head.append("X-Answer-Seal: seal\r\nX-Request-Id: ").append(header("X-Request-Id"));
      for (String field : fields) {
        head.append("\r\n").append(field);
      }
      write(head.append("\r\n\r\n").toString());
    }

    /** Writes one chunk of a body with chunked encoding; the last one is empty. */
    void writeChunk(String content) throws IOException {
      write(Integer.toHexString(content.length()) + "\r\n" + content + "\r\n");
    }

    /** Writes an answer with its length. */
    void writeAnswer(int status, String content) throws IOException {
      writeHead(status, "Content-Length: " + content.length());
      write(content);
    }

    void write(String text) throws IOException {
      OutputStream out = socket.getOutputStream();
      out.write(text.getBytes(StandardCharsets.US_ASCII));
      out.flush();
    }

    /** Waits for a time without writing. Fails if the gateway closes the connection before that. */
    void pause(int millis) throws IOException {
      if (millis == 0) {
        return;
      }
      socket.setSoTimeout(millis);
      try {
        int next = socket.getInputStream().read();
        throw new IOException(next < 0 ? "the gateway closed the connection" : "unexpected byte");
      } catch (SocketTimeoutException e) {
        socket.setSoTimeout(0);
      }
    }

    /** Waits until the gateway closes the connection, as it does to cancel a request. */
    void awaitClosed() throws IOException {
      socket.getInputStream().readAllBytes();
      socket.close();
    }

    /** Closes the connection in order. */
    void close() throws IOException {
      socket.close();
    }

    /** Resets the connection once the gateway has most likely read what was written. */
    void resetAfterDelivery() throws IOException {
      reset(DELIVERY_MILLIS);
    }

    /** Resets the connection after a delay. */
    void reset(int delayMillis) throws IOException {
      try {
        Thread.sleep(delayMillis);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  /** One upstream, with a thread for each connection. */
  private final class ScriptedUpstream {
    private final String id;
    private final String service;
    private final String softwareVersion;
    private final ServerSocket listener;
    private final String zone;
    private volatile State state = State.READY;

    ScriptedUpstream(String id, String service, String softwareVersion, String zone)
        throws IOException {
      this.id = id;
      this.zone = zone;
      this.service = service;
      this.softwareVersion = softwareVersion;
      this.listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
      connections.execute(this::accept);
    }

    private UpstreamReport createReport(long reportSequence) {
      String address = "127.0.0.1:" + listener.getLocalPort();
      return new UpstreamReport(
          id, service, address, zone, SLOTS, state, 1, reportSequence, softwareVersion);
    }

    private void accept() {
      try {
        while (true) {
          Socket socket = listener.accept();
          openSockets.add(socket);
          connections.execute(() -> serve(socket));
        }
      } catch (IOException e) {
        if (!listener.isClosed()) {
          throw new UncheckedIOException(e);
        }
      }
    }

    private byte[] readBody(Socket socket, InputStream in, int length) throws IOException {
      if (answersBeforeBody && length > 0) {
        socket.setReceiveBufferSize(SLOW_READ_BYTES);
        return new byte[0];
      }
      if (readPauseMillis == 0) {
        return in.readNBytes(length);
      }
      socket.setReceiveBufferSize(SLOW_READ_BYTES);
      byte[] body = new byte[length];
      int count = 0;
      while (count < length) {
        try {
          Thread.sleep(readPauseMillis);
        } catch (InterruptedException e) {
          throw new InterruptedIOException("the test ended");
        }
        int part = in.readNBytes(body, count, Math.min(SLOW_READ_BYTES, length - count));
        if (part == 0) {
          throw new EOFException("the gateway closed the connection");
        }
        count += part;
      }
      return body;
    }

    private void serve(Socket socket) {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        for (String line = HttpText.readLine(in); !line.isEmpty(); line = HttpText.readLine(in)) {
          Map<String, String> headers = HttpText.readFields(in);
          int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
          String body = new String(readBody(socket, in, length), StandardCharsets.US_ASCII);
          script.answer(new Exchange(this, line.split(" ")[1], headers, body, socket));
          if (socket.isClosed()) {
            return;
          }
        }
      } catch (IOException e) {
        // The gateway has closed the connection, which is how it cancels a request.
        return;
      } finally {
        openSockets.remove(socket);
      }
    }
  }
}
