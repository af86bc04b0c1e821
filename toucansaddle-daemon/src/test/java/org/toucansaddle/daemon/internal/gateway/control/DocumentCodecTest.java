package org.toucansaddle.daemon.internal.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.gateway.StoredDocument;
import org.toucansaddle.protocol.generated.StoredDocumentMessage;

/** Tests of {@link DocumentCodec}, with documents of up to hundreds of routes. */
public class DocumentCodecTest {

  private static StoredDocument document(byte[] content) {
    return new StoredDocument(1L << 40, content);
  }

  private static byte[] routes(int count) {
    Random random = new Random(7);
    StringBuilder text = new StringBuilder("[");
    for (int i = 0; i < count; i++) {
      text.append("{\"Name\":\"r-").append(random.nextInt(1 << 20)).append("\",\"Host\":\"");
      text.append("h").append(random.nextInt(1 << 20)).append(".example\",\"PathPrefix\":\"/p");
      text.append(i).append("/\",\"TimeoutMs\":12000,\"MaxAttempts\":2,\"TargetLatencyMs\":1000},");
    }
    return text.append("{}]").toString().getBytes(StandardCharsets.UTF_8);
  }

  @DataProvider
  public Object[][] contents() {
    byte[] noise = new byte[10_000];
    new Random(11).nextBytes(noise);
    return new Object[][] {{new byte[0]}, {new byte[] {1}}, {noise}, {routes(1)}, {routes(500)}};
  }

  @Test(dataProvider = "contents")
  public void shouldDecodeTheOriginalContent(byte[] content) {
    StoredDocument original = document(content);
    assertThat(DocumentCodec.decode(DocumentCodec.encode(original)).isSameAs(original)).isTrue();
    assertThat(DocumentCodec.fromCommand(DocumentCodec.toCommand(original)).isSameAs(original))
        .isTrue();
  }

  @Test
  public void shouldCompressManyRoutesToLessThanAQuarter() {
    byte[] content = routes(500);
    int compressedBytes = DocumentCodec.encode(document(content)).getContent().size();
    assertThat(compressedBytes).isLessThan(content.length / 4);
  }

  @Test
  public void shouldDecodeUncompressedCommands() {
    byte[] uncompressed = ByteBuffer.allocate(10).putLong(9).put(new byte[] {5, 6}).array();
    StoredDocument decoded = DocumentCodec.fromCommand(uncompressed);
    assertThat(decoded.isSameAs(new StoredDocument(9, new byte[] {5, 6}))).isTrue();
  }

  @Test
  public void shouldRejectAnInvalidMessageWithItsFault() {
    StoredDocumentMessage complete = DocumentCodec.encode(document(routes(5)));
    StoredDocumentMessage truncated =
        complete.toBuilder().setContent(complete.getContent().substring(0, 20)).build();
    assertThatThrownBy(() -> DocumentCodec.decode(truncated)).hasMessageContaining("truncated");
    StoredDocumentMessage negativeLength = complete.toBuilder().setLength(-1).build();
    assertThatThrownBy(() -> DocumentCodec.decode(negativeLength)).hasMessageContaining("too long");
  }
}
