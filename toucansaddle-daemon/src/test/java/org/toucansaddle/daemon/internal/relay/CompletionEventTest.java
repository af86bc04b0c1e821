package org.toucansaddle.daemon.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the parsing of one event of a streamed completion. */
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
  public void shouldParseText(String json, String text) throws IOException {
    assertThat(CompletionEvent.parse(bytes(json)))
        .isEqualTo(new CompletionEvent(text, Optional.empty()));
  }

  @Test
  public void shouldParseUsageAndFinishReason() throws IOException {
    String json =
        "{\"usage\":{\"completion_tokens\":9,\"details\":{\"prompt_tokens\":1},"
            + "\"prompt_tokens\":4},\"choices\":[{\"text\":\"\",\"finish_reason\":\"length\"}]}";
    assertThat(CompletionEvent.parse(bytes(json)).usage()).contains(new TokenUsage(4, 9, "length"));
  }

  @DataProvider
  static Object[][] malformedEvents() {
    return new Object[][] {{""}, {"[]"}, {"{"}, {"{\"choices\":[{"}, {"{} {}"}, {"{\"a\" 1}"}};
  }

  @Test(dataProvider = "malformedEvents")
  public void shouldRejectInputThatIsNotOneJsonObject(String json) {
    assertThatThrownBy(() -> CompletionEvent.parse(bytes(json))).isInstanceOf(IOException.class);
  }
}
