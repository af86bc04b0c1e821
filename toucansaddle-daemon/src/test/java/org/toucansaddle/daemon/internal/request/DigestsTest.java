package org.toucansaddle.daemon.internal.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.testng.annotations.Test;

/** Tests of {@link Digests}. */
public class DigestsTest {

  private static final byte[] BODY = "body".getBytes(StandardCharsets.UTF_8);

  /** Guards against sound requests that clear the strikes of one with another method. */
  @Test
  public void shouldTellMethodsApart() {
    assertThat(Digests.contentDigest("PUT", "/a", BODY))
        .isEqualTo(Digests.contentDigest("PUT", "/a", BODY))
        .isNotEqualTo(Digests.contentDigest("POST", "/a", BODY))
        .isNotEqualTo(Digests.contentDigest("PUT", "/b", BODY));
  }
}
