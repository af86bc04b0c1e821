package org.toucansaddle.usage;

import java.io.IOException;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/**
 * Gateway with the default document and upstreams whose answers a subclass writes, for all tests of
 * the subclass.
 *
 * <p>Upstreams call {@link #answer} on threads of their own; everything else is used by one thread.
 */
public abstract class ScriptedGatewayFixture {

  private final int upstreamCount;
  private LocalGateway gateway;
  private ScriptedUpstreams upstreams;

  ScriptedGatewayFixture(int upstreamCount) {
    this.upstreamCount = upstreamCount;
  }

  @BeforeClass
  public void startGateway() throws Exception {
    gateway = new LocalGateway();
    gateway.awaitServing();
    upstreams = new ScriptedUpstreams(gateway, upstreamCount, this::answer);
    LocalGateway.await(this::isServing);
  }

  @AfterClass(alwaysRun = true)
  public void stopGateway() throws Exception {
    upstreams.close();
    gateway.close();
  }

  /** Writes the answer to one request; the connection stays open unless it is closed here. */
  abstract void answer(Exchange exchange) throws IOException;

  /** Returns whether the routers send requests to the upstreams. */
  boolean isServing() {
    return isServing("/once/x");
  }

  /** Returns whether the first router answers a request to this path with 200. */
  boolean isServing(String path) {
    try {
      return RawCaller.get(gateway.callerAddress(0), path, "1.1").status() == 200;
    } catch (IOException e) {
      throw new AssertionError("no response to " + path, e);
    }
  }

  LocalGateway gateway() {
    return gateway;
  }

  ScriptedUpstreams upstreams() {
    return upstreams;
  }
}
