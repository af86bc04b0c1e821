import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;
import java.util.function.*;

/** Plain HTTP/1.1 on sockets. */
final class Http {
  static final class Answer {
    int status; Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER); byte[] body; boolean complete;
    String text() { return new String(body, StandardCharsets.UTF_8); }
  }
  static Socket connect(String address, int timeoutMs) throws IOException {
    int colon = address.lastIndexOf(':');
    Socket s = new Socket();
    s.setTcpNoDelay(true);
    s.connect(new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), timeoutMs);
    return s;
  }
  static byte[] head(String method, String path, Map<String, String> headers, int length) {
    StringBuilder h = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
    headers.forEach((k, v) -> h.append(k).append(": ").append(v).append("\r\n"));
    if (length >= 0) h.append("Content-Length: ").append(length).append("\r\n");
    return h.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
  }
  static Answer call(String address, String method, String path, Map<String, String> headers, byte[] body, int timeoutMs) throws IOException {
    try (Socket s = connect(address, Math.min(1000, timeoutMs))) {
      s.setSoTimeout(timeoutMs);
      OutputStream out = s.getOutputStream();
      byte[] head = head(method, path, headers, body == null ? -1 : body.length);
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.write(head);
      if (body != null) all.write(body);
      out.write(all.toByteArray());
      out.flush();
      return readAnswer(new BufferedInputStream(s.getInputStream()));
    }
  }
  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream b = new ByteArrayOutputStream();
    for (int c; (c = in.read()) != '\n'; ) {
      if (c < 0) { if (b.size() == 0) return null; throw new EOFException("cut in a line"); }
      if (c != '\r') b.write(c);
    }
    return b.toString(StandardCharsets.ISO_8859_1);
  }
  static Answer readAnswer(InputStream in) throws IOException {
    String first = line(in);
    if (first == null) throw new EOFException("closed without an answer");
    Answer a = new Answer();
    if (!first.startsWith("HTTP/1.1 ")) throw new IOException("no answer in the protocol: " + first);
    a.status = Integer.parseInt(first.substring(9, 12));
    for (String l; !(l = line(in)).isEmpty(); ) { int c = l.indexOf(':'); a.headers.put(l.substring(0, c).trim(), l.substring(c + 1).trim()); }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if (a.headers.containsKey("Transfer-Encoding")) {
      while (true) {
        String l = line(in);
        if (l == null) throw new EOFException("cut between chunks");
        int n = Integer.parseInt(l.split(";")[0].trim(), 16);
        byte[] b = in.readNBytes(n);
        if (b.length < n) throw new EOFException("cut in a chunk");
        body.write(b);
        line(in);
        if (n == 0) break;
      }
    } else if (a.headers.containsKey("Content-Length")) {
      int n = Integer.parseInt(a.headers.get("Content-Length"));
      byte[] b = in.readNBytes(n);
      if (b.length < n) throw new EOFException("cut in the body after head " + a.status);
      body.write(b);
    } else body.write(in.readAllBytes());
    a.body = body.toByteArray();
    a.complete = true;
    return a;
  }
}

