package org.toucansaddle.daemon.internal.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.gateway.StoredDocument;
import org.toucansaddle.daemon.internal.gateway.control.DocumentStateMachine.Outcome;

/** Tests of {@link DocumentStateMachine}. */
public class DocumentStateMachineTest {

  private List<Long> appliedVersions;
  private DocumentStateMachine machine;
  private long index;

  @BeforeMethod
  public void createMachine() {
    appliedVersions = new ArrayList<>();
    machine = new DocumentStateMachine(document -> appliedVersions.add(document.version()));
    index = 0;
  }

  private Outcome put(long version, String content) {
    StoredDocument document = new StoredDocument(version, content.getBytes(StandardCharsets.UTF_8));
    return Outcome.decode(machine.apply(++index, DocumentStateMachine.command(document)));
  }

  @Test
  public void shouldApplyTheHighestVersion() {
    assertThat(put(5, "five")).isEqualTo(new Outcome(true, 5));
    assertThat(put(9, "nine")).isEqualTo(new Outcome(true, 9));
    assertThat(appliedVersions).containsExactly(5L, 9L);
  }

  @Test
  public void shouldAcceptALowerVersionWithoutApplyingIt() {
    put(9, "nine");
    assertThat(put(5, "five")).isEqualTo(new Outcome(true, 9));
    assertThat(appliedVersions).containsExactly(9L);
  }

  @Test
  public void shouldAcceptTheSameDocumentAgain() {
    put(9, "nine");
    assertThat(put(9, "nine")).isEqualTo(new Outcome(true, 9));
  }

  @Test
  public void shouldRejectOtherContentWithTheVersionInForce() {
    put(9, "nine");
    assertThat(put(9, "other")).isEqualTo(new Outcome(false, 9));
    assertThat(appliedVersions).containsExactly(9L);
  }

  @Test
  public void shouldRestoreTheDocumentFromASnapshot() {
    put(9, "nine");
    byte[] snapshot = machine.snapshot();
    createMachine();
    machine.restore(snapshot);

    assertThat(appliedVersions).containsExactly(9L);
    assertThat(put(9, "nine").accepted()).isTrue();
    assertThat(put(9, "other").accepted()).isFalse();
  }
}
