package org.toucansaddle.daemon.internal.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalInt;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.upstream.ReportedLoad;

/** Tests of {@link LoadField}. */
public class LoadFieldTest {

  @DataProvider
  public Object[][] loads() {
    return new Object[][] {
      {"3,0,8", new ReportedLoad(3, 0, 8, OptionalInt.empty())},
      {" 3, 12 ,8 ", new ReportedLoad(3, 12, 8, OptionalInt.empty())},
      {"8,2,8,140", new ReportedLoad(8, 2, 8, OptionalInt.of(140))},
      {"8,2,8,140,7", new ReportedLoad(8, 2, 8, OptionalInt.of(140))},
      {"8,2,8,140,later", new ReportedLoad(8, 2, 8, OptionalInt.of(140))},
    };
  }

  @Test(dataProvider = "loads")
  public void shouldReadFigures(String text, ReportedLoad load) {
    assertThat(LoadField.parse(text)).contains(load);
  }

  @DataProvider
  public Object[][] malformed() {
    return new Object[][] {
      {""},
      {"3"},
      {"3,0"},
      {",,"},
      {"3,,8"},
      {"3,0,"},
      {"-3,0,8"},
      {"3,0,-8"},
      {"a,b,c"},
      {"3;0;8"},
      {"3.5,0,8"},
      {"+3,0,8"},
      {"3,0,8,"},
      {"3,0,8,fast"},
      {"3,0,8,-1"},
      {"3,0,8,9"},
      {"3,0,8,2001"},
      {"33,0,8"},
      {"3,161,8"},
      {"0,0,0"},
      {"99999999999,0,8"},
      {"3,0,NaN"},
      {"\u0663,0,8"},
    };
  }

  /** Guards against a figure that cannot be right and starves or floods an upstream. */
  @Test(dataProvider = "malformed")
  public void shouldIgnoreWhatCannotBeRight(String text) {
    assertThat(LoadField.parse(text)).isEmpty();
  }
}
