package org.toucansaddle.daemon.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Reading of one event of a completion. */
public class CompletionEventTest {

  private static byte[] bytes(String json) {
    return json.getBytes(StandardCharsets.UTF_8);
  }

  @DataProvider
  static Object[][] texts() {
    return new Object[][] {
      {"{\"choices\":[{\"text\":\"é \",\"finish_reason\":null}]}", "é "},
      {"{\"id\":{\"choices\":[1]},\"choices\":[{\"delta\":{\"content\":\"b\"}}]}", "b"},
      {"{\"choices\":[{\"delta\":{\"role\":\"assistant\",\"x\":[{}]}}]}", ""},
      {"{\"choices\":[{\"text\":\"first\"},{\"text\":\"second\"}]}", "first"},
      {"{\"choices\":7,\"usage\":null}", ""},
      {"{}", ""},
    };
  }

  @Test(dataProvider = "texts")
  public void shouldReadText(String json, String text) throws IOException {
    assertThat(CompletionEvent.parse(bytes(json)))
        .isEqualTo(new CompletionEvent(text, Optional.empty()));
  }

  @Test
  public void shouldReadUsageWithFinishReason() throws IOException {
    String json =
        "{\"usage\":{\"completion_tokens\":9,\"details\":{\"prompt_tokens\":1},"
            + "\"prompt_tokens\":4},\"choices\":[{\"text\":\"\",\"finish_reason\":\"length\"}]}";
    assertThat(CompletionEvent.parse(bytes(json)).usage()).contains(new TokenUsage(4, 9, "length"));
  }

  @DataProvider
  static Object[][] broken() {
    return new Object[][] {{""}, {"[]"}, {"{"}, {"{\"choices\":[{"}, {"{} {}"}, {"{\"a\" 1}"}};
  }

  @Test(dataProvider = "broken")
  public void shouldRefuseWhatIsNotOneObject(String json) {
    assertThatThrownBy(() -> CompletionEvent.parse(bytes(json))).isInstanceOf(IOException.class);
  }
}
