package org.toucansaddle.daemon.internal.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.zones.ZoneOrder;
import org.toucansaddle.coordination.zones.ZoneOrders;
import org.toucansaddle.daemon.gateway.StoredDocument;

/** Tests of {@link FleetStateMachine}. */
public class FleetStateMachineTest {

  private static final ZoneOrder OUT = new ZoneOrder("z1", true);
  private static final StoredDocument DOCUMENT = new StoredDocument(7, new byte[] {1, 2});

  private final List<Long> documents = new ArrayList<>();
  private final List<ZoneOrders> zones = new ArrayList<>();
  private FleetStateMachine machine;

  @BeforeMethod
  public void createMachine() {
    documents.clear();
    zones.clear();
    machine = create();
  }

  private FleetStateMachine create() {
    return new FleetStateMachine(
        new DocumentStateMachine(document -> documents.add(document.version())), zones::add);
  }

  private ZoneOrders order(ZoneOrder order) throws InvalidProtocolBufferException {
    return ZoneOrdersCodec.parse(machine.apply(1, FleetStateMachine.command(order)));
  }

  @Test
  public void shouldReturnZonesAfterOrder() throws Exception {
    assertThat(order(OUT)).isEqualTo(new ZoneOrders(1, Set.of("z1")));
    assertThat(zones).containsExactly(new ZoneOrders(1, Set.of("z1")));
  }

  // An order whose acknowledgement was lost is sent again, perhaps after others.
  @Test
  public void shouldAcceptOrderThatIsSentAgain() throws Exception {
    order(OUT);
    assertThat(order(OUT)).isEqualTo(new ZoneOrders(1, Set.of("z1")));
    assertThat(zones).hasSize(1);
  }

  @Test
  public void shouldKeepDocumentsAndOrdersApart() throws Exception {
    order(OUT);
    machine.apply(2, DocumentStateMachine.command(DOCUMENT));
    assertThat(documents).containsExactly(7L);
    assertThat(order(new ZoneOrder("z2", true)).outOfService())
        .containsExactlyInAnyOrder("z1", "z2");
  }

  @Test
  public void shouldRestoreBothFromSnapshot() throws Exception {
    order(OUT);
    machine.apply(2, DocumentStateMachine.command(DOCUMENT));
    byte[] snapshot = machine.snapshot();
    createMachine();
    machine.restore(snapshot);
    assertThat(documents).containsExactly(7L);
    assertThat(zones).containsExactly(new ZoneOrders(1, Set.of("z1")));
    assertThat(machine.snapshot()).isEqualTo(snapshot);
  }

  // Versions without zones read the snapshots of a fleet that never had an order, and write such.
  @Test
  public void shouldKeepFormatOfSnapshotWithoutOrders() {
    machine.apply(2, DocumentStateMachine.command(DOCUMENT));
    assertThat(machine.snapshot()).isEqualTo(DocumentStateMachine.command(DOCUMENT));
    FleetStateMachine other = create();
    other.restore(machine.snapshot());
    assertThat(other.snapshot()).isEqualTo(machine.snapshot());
  }

  @Test
  public void shouldStartEmptyFromEmptySnapshot() {
    machine.restore(new byte[0]);
    assertThat(documents).isEmpty();
    assertThat(zones).isEmpty();
  }

  @DataProvider
  public Object[][] corruptBytes() {
    // {distance of the byte from the end, its value}; the length ends 9 bytes before the end
    return new Object[][] {{13, 0xff}, {12, 0xff}, {12, 0x7f}, {9, 0xff}};
  }

  @Test(dataProvider = "corruptBytes")
  public void shouldRejectCorruptZonesOfSnapshot(int fromEnd, int value) throws Exception {
    order(OUT);
    byte[] corrupt = machine.snapshot();
    corrupt[corrupt.length - fromEnd] = (byte) value;
    assertThatThrownBy(() -> machine.restore(corrupt))
        .isInstanceOf(IllegalArgumentException.class)
        .hasMessageContaining("corrupt");
  }

  // A member without zones took an order for a document of a huge version and lost the real one.
  @Test
  public void shouldNotChangeDocumentOfVersionsWithoutZones() throws Exception {
    DocumentStateMachine older =
        new DocumentStateMachine(document -> documents.add(document.version()));
    older.apply(1, DocumentStateMachine.command(DOCUMENT));
    older.apply(2, FleetStateMachine.command(new ZoneOrder("a zone with a long name", true)));
    assertThat(documents).containsExactly(7L);
    order(OUT);
    machine.apply(2, DocumentStateMachine.command(DOCUMENT));
    documents.clear();
    older.restore(machine.snapshot());
    assertThat(documents).containsExactly(7L);
    assertThat(older.snapshot()).isEqualTo(DocumentStateMachine.command(DOCUMENT));
  }
}
