import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;
import java.util.function.*;

/** A worker: registers, runs requests one at a time on each channel, as PROTOCOL.md says. */
final class Worker implements Closeable {
  /** Handles one request; returns whether the channel is kept. */
  interface Handler { boolean handle(Worker w, Request r, OutputStream out) throws Exception; }
  static final class Request {
    String method, path; Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER); byte[] body = new byte[0]; Socket socket;
    String id() { return headers.getOrDefault("Toucansaddle-Attempt-Id", ""); }
  }
  final Lab lab; final String service, address; String id; final ServerSocket server; final Handler handler; final int slots;
  volatile String state = "ready"; volatile boolean beating = true; volatile boolean healthy = true; int seq; int target;
  final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  Worker(Lab lab, String service, int slots, String ip, Handler handler) throws IOException {
    this.lab = lab; this.service = service; this.handler = handler; this.slots = slots;
    server = new ServerSocket();
    server.bind(new InetSocketAddress(ip, 0), 200);
    address = ip + ":" + server.getLocalPort();
    id = "i-" + Integer.toHexString(new Random().nextInt() | 0x10000000);
    lab.closeables.add(this);
    Lab.daemon("worker").newThread(this::accept).start();
    Lab.daemon("beat").newThread(this::beatLoop).start();
  }
  void accept() {
    try { while (true) { Socket s = server.accept(); s.setTcpNoDelay(true); sockets.add(s); Lab.daemon("channel").newThread(() -> serve(s)).start(); } }
    catch (IOException e) { /* closed */ }
  }
  void beatLoop() {
    while (!server.isClosed()) {
      if (beating) beat();
      try { Thread.sleep(1200); } catch (InterruptedException e) { return; }
    }
  }
  boolean beat() {
    for (int i = 0; i < lab.controls.size(); i++) {
      Lab.Proc c = lab.controls.get(target % lab.controls.size());
      try {
        String json = "{\"Service\":\"" + service + "\",\"Addr\":\"" + address + "\",\"Zone\":\"a\",\"Version\":\"v1\",\"Slots\":" + slots + ",\"State\":\"" + state + "\",\"ColdLeftMs\":0,\"Seq\":" + (++seq) + "}";
        Http.Answer a = Http.call(c.ip + ":8785", "PUT", "/toucansaddle/workers/" + id, Map.of("Host", "c", "Content-Type", "application/json"), json.getBytes(StandardCharsets.UTF_8), 1000);
        if (a.status / 100 == 2) return true;
      } catch (IOException e) { /* the next one */ }
      target++;
    }
    return false;
  }
  void serve(Socket s) {
    try (s) {
      InputStream in = new BufferedInputStream(s.getInputStream());
      OutputStream out = s.getOutputStream();
      while (true) {
        Request r = read(in);
        if (r == null) return;
        r.socket = s;
        if (r.path.equals("/healthz")) { answer(out, healthy ? 200 : 503, Map.of("Toucansaddle-Instance-Id", id), new byte[0]); continue; }
        String expected = r.headers.get("Toucansaddle-Expect-Instance");
        if (expected != null && !expected.equals(id)) { answer(out, 421, Map.of("Toucansaddle-Attempt-Id", r.id(), "Toucansaddle-Not-Executed", "instance"), new byte[0]); continue; }
        if (!handler.handle(this, r, out)) return;
      }
    } catch (Exception e) { /* the channel ends */ } finally { sockets.remove(s); }
  }
  static Request read(InputStream in) throws IOException {
    String first = Http.line(in);
    if (first == null) return null;
    Request r = new Request();
    String[] parts = first.split(" ");
    r.method = parts[0]; r.path = parts[1];
    for (String l; !(l = Http.line(in)).isEmpty(); ) { int c = l.indexOf(':'); r.headers.put(l.substring(0, c).trim(), l.substring(c + 1).trim()); }
    if (r.headers.containsKey("Content-Length")) {
      int n = Integer.parseInt(r.headers.get("Content-Length"));
      r.body = in.readNBytes(n);
      if (r.body.length < n) throw new EOFException();
    } else if (r.headers.containsKey("Transfer-Encoding")) {
      ByteArrayOutputStream b = new ByteArrayOutputStream();
      while (true) { int n = Integer.parseInt(Http.line(in).trim(), 16); byte[] c = in.readNBytes(n); b.write(c); Http.line(in); if (n == 0) break; }
      r.body = b.toByteArray();
    }
    return r;
  }
  static void answer(OutputStream out, int status, Map<String, String> headers, byte[] body) throws IOException {
    ByteArrayOutputStream b = new ByteArrayOutputStream();
    b.write(("HTTP/1.1 " + status + " X\r\n").getBytes());
    for (var e : headers.entrySet()) b.write((e.getKey() + ": " + e.getValue() + "\r\n").getBytes());
    b.write(("Content-Length: " + body.length + "\r\n\r\n").getBytes());
    b.write(body);
    out.write(b.toByteArray());
    out.flush();
  }
  Map<String, String> sealed(Request r) {
    Map<String, String> h = new LinkedHashMap<>();
    h.put("Toucansaddle-Attempt-Id", r.id());
    h.put("Toucansaddle-Server-Seal", "3e1b.07.5a2.600.0.c9f2a4d1");
    h.put("Keep-Alive", "timeout=5");
    return h;
  }
  @Override public void close() throws IOException { beating = false; server.close(); for (Socket s : sockets) s.close(); }
}
