package org.toucansaddle.daemon.internal.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.gateway.CallerLimits;
import org.toucansaddle.daemon.gateway.DocumentException;
import org.toucansaddle.daemon.gateway.FleetDocument;
import org.toucansaddle.daemon.gateway.ServiceDefinition;
import org.toucansaddle.daemon.gateway.ServiceDefinition.WarmUp;
import org.toucansaddle.daemon.gateway.StoredDocument;

/** Tests of {@link ColdRates}. */
public class ColdRatesTest {

  private final AtomicInteger reads = new AtomicInteger();
  private volatile StoredDocument document = StoredDocument.none();

  private FleetDocument read(byte[] content) throws DocumentException {
    reads.incrementAndGet();
    if (content.length == 0) {
      throw new DocumentException("empty");
    }
    ServiceDefinition desk =
        new ServiceDefinition(
            "desk", "", 0, Optional.empty(), Optional.of(new WarmUp(3_000, content[0])));
    return new FleetDocument(
        1, List.of(), List.of(desk), Optional.empty(), CallerLimits.defaults());
  }

  // Each document was read on the thread that also confirms documents and sends heartbeats.
  @Test
  public void shouldReadDocumentOnceAndOnlyWhenAsked() {
    ColdRates rates = new ColdRates(this::read, () -> document);
    document = new StoredDocument(1, new byte[] {4});
    document = new StoredDocument(2, new byte[] {6});
    assertThat(reads.get()).isZero();
    assertThat(rates.applyAsDouble("desk")).isEqualTo(6);
    assertThat(rates.applyAsDouble("other")).isZero();
    assertThat(reads.get()).isEqualTo(1);
    document = new StoredDocument(3, new byte[0]);
    assertThat(rates.applyAsDouble("desk")).isZero();
    assertThat(reads.get()).isEqualTo(2);
  }
}
