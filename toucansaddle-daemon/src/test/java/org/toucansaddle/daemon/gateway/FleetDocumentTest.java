package org.toucansaddle.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link FleetDocument}. */
public class FleetDocumentTest {

  private static final ServiceDefinition SERVICE =
      new ServiceDefinition("desk", "/healthz", 100, Optional.empty());

  private static Route route(String name, String prefix, int timeoutMillis, int weight) {
    return route(name, prefix, timeoutMillis, new WeightedService("desk", weight));
  }

  private static Route route(
      String name, String prefix, int timeoutMillis, WeightedService service) {
    return new Route(
        name,
        "h.example",
        prefix,
        Repetition.ONCE,
        timeoutMillis,
        300,
        0,
        1,
        List.of(service),
        1,
        true,
        false);
  }

  private static FleetDocument document(List<Route> routes, List<ClientAccount> accounts) {
    return new FleetDocument(
        3, routes, List.of(SERVICE), Optional.of(accounts), CallerLimits.defaults());
  }

  @Test
  public void shouldAcceptAConsistentDocument() throws DocumentException {
    List<ClientAccount> accounts = List.of(new ClientAccount("a", Set.of("k1", "k2")));
    FleetDocument document =
        document(List.of(route("r1", "/a/", 10, 1), route("r2", "/a/b/", 10, 1)), accounts);

    assertThat(document.validated()).isSameAs(document);
  }

  @DataProvider
  public Object[][] inconsistentDocuments() {
    WeightedService unknownService = new WeightedService("nowhere", 1);
    List<ClientAccount> accountsWithSharedKey =
        List.of(new ClientAccount("a", Set.of("k")), new ClientAccount("b", Set.of("k")));
    return new Object[][] {
      {document(List.of(route("r", "/a/", 10, unknownService)), List.of()), "does not exist"},
      {document(List.of(route("r", "/a/", 0, 1)), List.of()), "timeout"},
      {document(List.of(route("r", "/a/", 10, 0)), List.of()), "add up to 0"},
      {document(List.of(route("r", "/a", 10, 1)), List.of()), "slash"},
      {
        document(List.of(route("r", "/a/", 10, 1), route("s", "/a/", 10, 1)), List.of()),
        "two routes share"
      },
      {document(List.of(), accountsWithSharedKey), "share a key"},
    };
  }

  @Test(dataProvider = "inconsistentDocuments")
  public void shouldRejectAnInconsistentDocument(FleetDocument document, String message) {
    assertThatThrownBy(document::validated)
        .isInstanceOf(DocumentException.class)
        .hasMessageContaining(message);
  }
}
