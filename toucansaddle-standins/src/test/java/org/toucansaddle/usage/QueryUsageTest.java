package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.usage.RawCaller.RawResponse;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/** Usage tests of the target of a request, which reaches an upstream as the caller sent it. */
public class QueryUsageTest extends ScriptedGatewayFixture {

  public QueryUsageTest() {
    super(1);
  }

  @Override
  void answer(Exchange exchange) throws IOException {
    exchange.writeAnswer(200, exchange.path());
  }

  @DataProvider
  public Object[][] targets() {
    return new Object[][] {
      {"/once/x"},
      {"/once/x?a=1"},
      {"/once/x??a=1"},
      {"/once/x???a=1"},
      {"/once/x??a"},
      {"/once/x??a=1&a=2"},
      {"/once/x??a=1&?a=2"},
      {"/once/x?a=1&?a=2"},
      {"/once/x?a=1&?b=2"},
      {"/once/x?a=1?a=2"},
      {"/once/x??a=1?b=2&c=%3F"},
      {"/once/x?%3Fa=1"},
      {"/once/x??%3Fa=1"},
      {"/once/x?="},
      {"/once/x??="},
      {"/once/x?&?=1"},
      {"/once/x??=1&a"},
      {"/once/x??&a=1"},
      {"/once/x?&?a=1"},
      {"/once/x??"},
      {"/once/x???"},
      {"/once/x??+a%20b=c+d"},
      {"/once/x?%61=1&a=2&?a=3"},
    };
  }

  /** Guards against a query that begins with a question mark and loses it. */
  @Test(dataProvider = "targets")
  public void shouldSendTargetAsReceived(String target) throws IOException {
    RawResponse response = RawCaller.get(gateway().callerAddress(0), target, "1.1");
    assertThat(response.status()).isEqualTo(200);
    assertThat(response.body()).isEqualTo(target);
  }
}
