package org.toucansaddle.daemon.internal.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;
import org.toucansaddle.protocol.generated.ConfigurationDelta;
import org.toucansaddle.protocol.generated.ConfigurationItem;
import org.toucansaddle.protocol.generated.WorkClass;

/** Tests {@link ConfigurationHolder} and the deltas of {@link ConfigurationItems}. */
public class ConfigurationHolderTest {

  private static ConfigurationItem workClassItem(long revision, String name) {
    return ConfigurationItem.newBuilder()
        .setRevision(revision)
        .setWorkClass(WorkClass.newBuilder().setName(name))
        .build();
  }

  private static ConfigurationItems itemsAtRevision(int revisions) {
    ConfigurationItems items = ConfigurationItems.empty();
    for (int revision = 1; revision <= revisions; revision++) {
      items = items.with(workClassItem(revision, "class-" + revision % 5));
    }
    return items;
  }

  @Test
  public void shouldNeverApplyLowerRevision() {
    ConfigurationHolder holder = new ConfigurationHolder();
    List<Integer> revisions = new ArrayList<>();
    for (int i = 1; i <= 30; i++) {
      revisions.add(i);
    }
    Collections.shuffle(revisions, new Random(4));
    long highestRevision = 0;
    for (int revision : revisions) {
      holder.applyIfNewer(itemsAtRevision(revision));
      assertThat(holder.current().revision()).isGreaterThanOrEqualTo(highestRevision);
      highestRevision = holder.current().revision();
    }
    assertThat(highestRevision).isEqualTo(30);
  }

  @Test
  public void shouldRejectDeltaThatStartsAfterCurrentRevision() {
    ConfigurationHolder holder = new ConfigurationHolder();
    ConfigurationDelta delta = itemsAtRevision(10).deltaSince(8);
    assertThat(holder.applyIfNewer(delta)).isFalse();
    assertThat(holder.current().revision()).isZero();
  }

  @Test
  public void shouldReachSameItemsThroughDeltas() {
    ConfigurationItems expected = itemsAtRevision(40);
    ConfigurationItems follower = itemsAtRevision(7);
    follower = follower.with(itemsAtRevision(23).deltaSince(7));
    follower = follower.with(expected.deltaSince(15));
    assertThat(follower).isEqualTo(expected);
  }

  @Test
  public void shouldIncludeDeletionsInDeltas() {
    ConfigurationItems before = itemsAtRevision(3);
    ConfigurationItem deletion =
        ConfigurationItem.newBuilder()
            .setRevision(4)
            .setDeleted(true)
            .setDeletedKey("class/class-1")
            .build();
    ConfigurationItems after = before.with(deletion);
    ConfigurationItems follower = before.with(after.deltaSince(3));
    assertThat(new FleetConfiguration(follower).findWorkClass("class-1")).isEmpty();
  }

  @Test
  public void shouldReturnCompleteDeltaForRevisionOlderThanPrunedDeletions() {
    ConfigurationItems items = ConfigurationItems.empty();
    long revision = 0;
    for (int i = 0; i < 600; i++) {
      items = items.with(workClassItem(++revision, "class-" + i));
      items =
          items.with(
              ConfigurationItem.newBuilder()
                  .setRevision(++revision)
                  .setDeleted(true)
                  .setDeletedKey("class/class-" + i)
                  .build());
    }
    assertThat(items.items().size()).isLessThanOrEqualTo(500);
    assertThat(items.deltaSince(3).getComplete()).isTrue();
    assertThat(items.deltaSince(revision - 10).getComplete()).isFalse();
  }

  @Test
  public void shouldKeepNewestConfirmation() {
    ConfigurationHolder holder = new ConfigurationHolder();
    long now = System.nanoTime();
    holder.recordConfirmation(now);
    holder.recordConfirmation(now - 5_000_000_000L);
    assertThat(holder.confirmedAgeMillis(now)).isZero();
  }
}
