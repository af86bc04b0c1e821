package org.toucansaddle.daemon.settings;

/**
 * One invalid, missing or unknown key of a settings file, or an unreadable file. Immutable.
 *
 * @param key path of the key, such as {@code listen.callers}, or the kind of fault in parentheses
 * @param value invalid value, or empty if the key is missing
 * @param allowed values that are allowed
 * @param remedy how to correct it, with an example
 */
public record SettingsFault(String key, String value, String allowed, String remedy) {

  @Override
  public String toString() {
    String found = value.isEmpty() ? "is missing" : "is '" + value + "'";
    return key + " " + found + "; allowed: " + allowed + "; " + remedy;
  }
}
