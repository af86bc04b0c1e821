package org.toucansaddle.daemon.internal.control;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.SplittableRandom;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.protocol.generated.Claim;
import org.toucansaddle.protocol.generated.ClaimOutcome;
import org.toucansaddle.protocol.generated.ClaimResult.State;
import org.toucansaddle.protocol.generated.ClientAccount;
import org.toucansaddle.protocol.generated.Command;
import org.toucansaddle.protocol.generated.CommandResult;
import org.toucansaddle.protocol.generated.CommandStatus;
import org.toucansaddle.protocol.generated.PlacementOrder;
import org.toucansaddle.protocol.generated.WorkClass;

/** Tests {@link ControlStateMachine}: command results, claims, placement orders and snapshots. */
public class ControlStateMachineTest {

  private static final long DAY_MILLIS = 24L * 60 * 60 * 1_000;

  private ControlStateMachine stateMachine;
  private long index;

  @BeforeMethod
  public void createMachine() {
    stateMachine = new ControlStateMachine(items -> {});
    index = 0;
  }

  private CommandResult apply(Command.Builder command) {
    try {
      return CommandResult.parseFrom(stateMachine.apply(++index, command.build().toByteArray()));
    } catch (InvalidProtocolBufferException e) {
      throw new AssertionError(e);
    }
  }

  private static Command.Builder putClass(String commandId, String name, long decidedOnRevision) {
    WorkClass workClass = WorkClass.newBuilder().setName(name).setPool("m").build();
    return Command.newBuilder()
        .setCommandId(commandId)
        .setDecidedOnRevision(decidedOnRevision)
        .setPutClass(workClass);
  }

  private static Command.Builder claim(String commandId, String key, String digest, String router) {
    return Command.newBuilder()
        .setCommandId(commandId)
        .setClaim(
            Claim.newBuilder()
                .setAccount(1)
                .setKey(ByteString.copyFromUtf8(key))
                .setDigest(ByteString.copyFromUtf8(digest))
                .setRouter(router)
                .setRouterIncarnation(1));
  }

  private static ClaimOutcome.Builder outcome(String key, String router) {
    return ClaimOutcome.newBuilder()
        .setAccount(1)
        .setKey(ByteString.copyFromUtf8(key))
        .setRouter(router)
        .setRouterIncarnation(1);
  }

  private CommandResult applyOutcome(ClaimOutcome.Builder outcome) {
    return apply(Command.newBuilder().setCommandId("o" + index).setClaimOutcome(outcome));
  }

  @Test
  public void shouldReturnFirstResultForResentCommand() {
    CommandResult first = apply(putClass("c1", "a", 0));
    CommandResult resent = apply(putClass("c1", "a", 0));
    assertThat(resent).isEqualTo(first);
    assertThat(stateMachine.configuration().revision()).isEqualTo(1);
  }

  @Test
  public void shouldAcceptOnlyOneOfTwoChangesDecidedOnSameRevision() {
    apply(putClass("c1", "a", 0));
    assertThat(apply(putClass("c2", "a", 1)).getStatus()).isEqualTo(CommandStatus.ACCEPTED);
    CommandResult second = apply(putClass("c3", "a", 1));
    assertThat(second.getStatus()).isEqualTo(CommandStatus.CONFLICT);
    assertThat(second.getRevision()).isEqualTo(2);
    assertThat(second.getMessage()).contains("--revision 2");
  }

  @DataProvider
  static Object[][] wrongRevisions() {
    return new Object[][] {{0}, {2}, {7}};
  }

  @Test(dataProvider = "wrongRevisions")
  public void shouldRejectChangeDecidedOnOtherRevision(long decidedOnRevision) {
    apply(putClass("c1", "a", 0));
    assertThat(apply(putClass("c2", "a", decidedOnRevision)).getStatus())
        .isEqualTo(CommandStatus.CONFLICT);
  }

  @Test
  public void shouldAssignNewAccountNumberWhenDeletedAccountIsRecreated() {
    Command.Builder putAccount =
        Command.newBuilder()
            .setCommandId("a1")
            .setPutAccount(ClientAccount.newBuilder().setName("x"));
    apply(putAccount);
    apply(Command.newBuilder().setCommandId("a2").setDecidedOnRevision(1).setDeleteAccount("x"));
    apply(putAccount.setCommandId("a3"));
    assertThat(stateMachine.configuration().items().get("account/x").getAccount().getNumber())
        .isEqualTo(2);
  }

  @Test
  public void shouldGrantClaimOnce() {
    assertThat(apply(claim("k1", "key", "d", "r1")).getClaim().getState()).isEqualTo(State.GRANTED);
    assertThat(apply(claim("k2", "key", "d", "r2")).getClaim().getState()).isEqualTo(State.RUNNING);
  }

  @Test
  public void shouldGrantClaimAgainForResentCommand() {
    apply(claim("k1", "key", "d", "r1"));
    assertThat(apply(claim("k1", "key", "d", "r1")).getClaim().getState()).isEqualTo(State.GRANTED);
  }

  @Test
  public void shouldReplayOutcomeAfterCompletion() {
    apply(claim("k1", "key", "d", "r1"));
    applyOutcome(outcome("key", "r1").setHttpStatus(201));
    CommandResult repeated = apply(claim("k2", "key", "d", "r2"));
    assertThat(repeated.getClaim().getState()).isEqualTo(State.DONE);
    assertThat(repeated.getClaim().getOutcome().getHttpStatus()).isEqualTo(201);
  }

  @Test
  public void shouldReportMismatchWhenKeyIsReusedWithOtherDigest() {
    apply(claim("k1", "key", "d", "r1"));
    assertThat(apply(claim("k2", "key", "other", "r1")).getClaim().getState())
        .isEqualTo(State.MISMATCH);
  }

  @Test
  public void shouldGrantClaimAgainAfterRelease() {
    apply(claim("k1", "key", "d", "r1"));
    applyOutcome(outcome("key", "r1").setReleased(true));
    assertThat(apply(claim("k2", "key", "d", "r2")).getClaim().getState()).isEqualTo(State.GRANTED);
  }

  @Test
  public void shouldNotReleaseClaimOfAnotherRouter() {
    apply(claim("k1", "key", "d", "r1"));
    applyOutcome(outcome("key", "r2").setReleased(true));
    assertThat(apply(claim("k2", "key", "d", "r2")).getClaim().getState()).isEqualTo(State.RUNNING);
  }

  @Test
  public void shouldNotGrantClaimAgainAfterUnknownOutcome() {
    apply(claim("k1", "key", "d", "r1"));
    applyOutcome(outcome("key", "r1").setUnknown(true));
    assertThat(apply(claim("k2", "key", "d", "r2")).getClaim().getState()).isEqualTo(State.LOST);
  }

  @Test
  public void shouldEvictClaimAfterOneDay() {
    apply(claim("k1", "key", "d", "r1"));
    Command.Builder later = claim("k2", "key", "d", "r2").setProposedAtMillis(DAY_MILLIS + 1);
    assertThat(apply(later).getClaim().getState()).isEqualTo(State.GRANTED);
  }

  @Test
  public void shouldRestoreSameStateFromSnapshot() {
    apply(putClass("c1", "a", 0));
    apply(putClass("c2", "b", 0));
    apply(claim("k1", "key", "d", "r1"));
    ControlStateMachine copy = new ControlStateMachine(items -> {});
    copy.restore(stateMachine.snapshot());
    assertThat(copy.snapshot()).isEqualTo(stateMachine.snapshot());
    assertThat(copy.configuration()).isEqualTo(stateMachine.configuration());
  }

  @Test
  public void shouldReturnStatusForAnyBytes() throws InvalidProtocolBufferException {
    SplittableRandom random = new SplittableRandom(3);
    for (int round = 0; round < 2_000; round++) {
      byte[] bytes = putClass("c" + round, "a", 0).build().toByteArray();
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
      CommandResult result = CommandResult.parseFrom(stateMachine.apply(++index, bytes));
      assertThat(result.getStatus()).isNotEqualTo(CommandStatus.COMMAND_STATUS_UNSPECIFIED);
    }
  }

  private CommandResult issueOrder(String upstream, long atMillis) {
    return apply(
        Command.newBuilder()
            .setProposedAtMillis(atMillis)
            .setPlacementOrder(PlacementOrder.newBuilder().setUpstream(upstream).setModel("m")));
  }

  @Test
  public void shouldNumberOrdersByLogIndex() {
    long first = issueOrder("u1", 10_000).getIndex();
    apply(putClass("c1", "a", 0));
    assertThat(first).isEqualTo(1);
    assertThat(issueOrder("u2", 90_000).getIndex()).isEqualTo(3);
  }

  @Test
  public void shouldLimitLoadRateAfterRestoringSnapshot() {
    issueOrder("u1", 10_000);
    assertThat(issueOrder("u2", 14_999).getStatus()).isEqualTo(CommandStatus.CONFLICT);
    ControlStateMachine restored = new ControlStateMachine(items -> {});
    restored.restore(stateMachine.snapshot());
    stateMachine = restored;
    assertThat(issueOrder("u2", 14_999).getStatus()).isEqualTo(CommandStatus.CONFLICT);
    assertThat(issueOrder("u2", 15_000).getStatus()).isEqualTo(CommandStatus.ACCEPTED);
  }

  @Test
  public void shouldNotGrantClaimReleasedBeforeItsCommandArrived() {
    applyOutcome(outcome("k", "r1").setReleased(true).setClaimCommandId("late"));
    ControlStateMachine restored = new ControlStateMachine(items -> {});
    restored.restore(stateMachine.snapshot());
    stateMachine = restored;
    assertThat(apply(claim("late", "k", "d", "r1")).getClaim().getState())
        .isEqualTo(State.RELEASED);
    assertThat(apply(claim("next", "k", "d", "r2")).getClaim().getState()).isEqualTo(State.GRANTED);
  }
}
