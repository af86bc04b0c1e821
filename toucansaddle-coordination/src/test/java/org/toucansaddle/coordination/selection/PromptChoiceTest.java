package org.toucansaddle.coordination.selection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.selection.PromptChoice.Candidate;

/** Tests of {@link PromptChoice} with a target of 1,000 ms, admitted up to 900 ms. */
public class PromptChoiceTest {

  private final Random random = new Random(1);
  private final PromptChoice choice = new PromptChoice(1_000, 0.9, random::nextInt);

  private static Candidate home(double millis) {
    return new Candidate(millis, millis, 0, true);
  }

  private static Candidate keeper(double millis) {
    return new Candidate(millis, millis, 0, false);
  }

  private static Candidate reader(double millis, double rereadMillis) {
    return new Candidate(millis, millis, rereadMillis, false);
  }

  @DataProvider
  public Object[][] pools() {
    return new Object[][] {
      {"settled home", List.of(home(790), keeper(50)), OptionalInt.of(0)},
      {"keeper before next", List.of(home(850), reader(300, 100), keeper(700)), OptionalInt.of(2)},
      {"late keeper", List.of(home(950), reader(300, 100), keeper(850)), OptionalInt.of(1)},
      {"gain", List.of(home(850), reader(300, 100)), OptionalInt.of(1)},
      {"gain below the reading", List.of(home(850), reader(760, 100)), OptionalInt.of(0)},
      {"home too late", List.of(home(910), reader(790, 150)), OptionalInt.of(1)},
      {"full home", List.of(reader(790, 150), reader(100, 150)), OptionalInt.of(0)},
      {"none settled", List.of(home(810), keeper(820), reader(830, 1)), OptionalInt.empty()},
      {"none", List.of(), OptionalInt.empty()},
    };
  }

  @Test(dataProvider = "pools")
  public void shouldLeaveHomeOnlyForAKeeperOrAGain(
      String name, List<Candidate> candidates, OptionalInt expected) {
    assertThat(choice.chooseForPrefix(candidates)).as(name).isEqualTo(expected);
  }

  /** Guards against prompts that leave a full pool's home to be read again somewhere else. */
  @Test
  public void shouldNotReadAgainBesideAHomeThatIsBestInAFullPool() {
    List<Candidate> candidates = List.of(home(880), reader(800, 100), reader(850, 100));
    for (int i = 0; i < 100; i++) {
      assertThat(choice.drawNearBest(candidates)).hasValue(0);
    }
  }

  /** Guards against a request refused at home that another one could still serve in time. */
  @Test
  public void shouldReadAgainIfOnlyThatMeetsTheTarget() {
    List<Candidate> candidates = List.of(home(950), reader(890, 200), reader(940, 200));
    for (int i = 0; i < 100; i++) {
      assertThat(choice.drawNearBest(candidates)).hasValue(1);
    }
  }

  @Test
  public void shouldSpreadOverThoseAboutAsGoodAsTheBest() {
    List<Candidate> candidates = List.of(keeper(100), keeper(105), keeper(109), keeper(120));
    int[] drawn = new int[candidates.size()];
    for (int i = 0; i < 300; i++) {
      drawn[choice.drawNearBest(candidates).orElseThrow()]++;
    }
    assertThat(drawn[0]).isPositive();
    assertThat(drawn[1]).isPositive();
    assertThat(drawn[2]).isPositive();
    assertThat(drawn[3]).isZero();
  }

  @Test
  public void shouldDrawNothingFromNoCandidates() {
    assertThat(choice.drawNearBest(List.of())).isEmpty();
  }
}
