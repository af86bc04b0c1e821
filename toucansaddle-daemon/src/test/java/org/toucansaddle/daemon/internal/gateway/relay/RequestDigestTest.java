package org.toucansaddle.daemon.internal.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link RequestDigest}. */
public class RequestDigestTest {

  private static final byte[] BODY = "body".getBytes(StandardCharsets.UTF_8);

  private static long digest(
      String method, String host, String target, String account, String body) {
    int mark = target.indexOf('?');
    String path = mark < 0 ? target : target.substring(0, mark);
    String query = mark < 0 ? "" : target.substring(mark + 1);
    RequestHead head =
        new RequestHead("r", method, host, path, query, 0, "k", 0, 0, 0, "", "", List.of());
    return RequestDigest.of(head, account, body.getBytes(StandardCharsets.UTF_8));
  }

  @DataProvider
  public Object[][] otherRequests() {
    return new Object[][] {
      {"GET", "h", "/a/b?part=1", "captain", "body"},
      {"POST", "i", "/a/b?part=1", "captain", "body"},
      {"POST", "h", "/a/c?part=1", "captain", "body"},
      {"POST", "h", "/a/b", "captain", "body"},
      {"POST", "h", "/a/b?part=17", "captain", "body"},
      {"POST", "h", "/a/b?part=1&x=2", "captain", "body"},
      {"POST", "h", "/a/b?part=1", "mate", "body"},
      {"POST", "h", "/a/b?part=1", "captain", "other"},
    };
  }

  /** Guards against sound requests that clear the strikes of one that differs from them. */
  @Test(dataProvider = "otherRequests")
  public void shouldTellDifferentRequestsApart(
      String method, String host, String target, String account, String body) {
    assertThat(digest(method, host, target, account, body))
        .isNotEqualTo(digest("POST", "h", "/a/b?part=1", "captain", "body"));
  }

  @Test
  public void shouldRecognizeEqualRequests() {
    assertThat(digest("GET", "h", "/a/b?part=1", "captain", "body"))
        .isEqualTo(digest("GET", "h", "/a/b?part=1", "captain", "body"));
  }

  /** Guards against strikes on disk that an upgrade makes void. */
  @Test
  public void shouldMatchStoredDigestsOfPostRequestsWithoutQuery() {
    long stored =
        Hashing.komihash5_0()
            .hashStream()
            .putString("h")
            .putString("/a/b")
            .putString("captain")
            .putByteArray(BODY)
            .getAsLong();
    assertThat(digest("POST", "h", "/a/b", "captain", "body")).isEqualTo(stored);
  }
}
