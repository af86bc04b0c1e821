package org.toucansaddle.daemon.settings;

/**
 * One fault of a settings file. Immutable.
 *
 * @param key path of the key, such as {@code listen.callers}
 * @param value value found, or empty if the key is missing
 * @param allowed what is allowed
 * @param remedy what to write, with an example
 */
public record SettingsFault(String key, String value, String allowed, String remedy) {

  @Override
  public String toString() {
    String found = value.isEmpty() ? "is missing" : "is '" + value + "'";
    return key + " " + found + "; allowed: " + allowed + "; " + remedy;
  }
}
