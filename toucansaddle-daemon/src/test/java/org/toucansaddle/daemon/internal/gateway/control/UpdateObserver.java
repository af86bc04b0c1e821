package org.toucansaddle.daemon.internal.gateway.control;

import io.grpc.stub.ServerCallStreamObserver;
import java.util.function.Consumer;
import org.toucansaddle.protocol.generated.FleetUpdate;

/** Passes the updates of a {@link FollowServer} to a test; always ready. */
final class UpdateObserver extends ServerCallStreamObserver<FleetUpdate> {

  private final Consumer<FleetUpdate> updates;

  UpdateObserver(Consumer<FleetUpdate> updates) {
    this.updates = updates;
  }

  @Override
  public void onNext(FleetUpdate update) {
    updates.accept(update);
  }

  @Override
  public void onError(Throwable failure) {
    throw new AssertionError(failure);
  }

  @Override
  public void onCompleted() {}

  @Override
  public boolean isCancelled() {
    return false;
  }

  @Override
  public boolean isReady() {
    return true;
  }

  @Override
  public void setOnCancelHandler(Runnable handler) {}

  @Override
  public void setCompression(String compression) {}

  @Override
  public void setOnReadyHandler(Runnable handler) {}

  @Override
  public void disableAutoInboundFlowControl() {}

  @Override
  public void request(int count) {}

  @Override
  public void setMessageCompression(boolean enable) {}
}
