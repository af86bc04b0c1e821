package org.toucansaddle.daemon.internal.gateway.relay;

import com.google.protobuf.Message;
import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.Collection;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReference;

/** Writes all fields that can be reached from an object, to compare states. Not thread-safe. */
final class StateDump {

  private final StringBuilder text = new StringBuilder();
  private final Map<Object, Integer> numbers = new IdentityHashMap<>();

  private StateDump() {}

  /** Returns the values of all fields of the project's objects that can be reached. */
  static String of(Object root) throws IllegalAccessException {
    StateDump dump = new StateDump();
    dump.write(root);
    return dump.text.toString();
  }

  private void write(Object value) throws IllegalAccessException {
    if (value instanceof AtomicReference<?> reference) {
      write(reference.get());
    } else if (value instanceof Optional<?> optional) {
      write(optional.orElse(null));
    } else if (value instanceof Map<?, ?> map) {
      writeMap(map);
    } else if (value instanceof Collection<?> collection) {
      for (Object element : collection) {
        write(element);
      }
    } else if (value != null && value.getClass().isArray()) {
      for (int i = 0; i < Array.getLength(value); i++) {
        write(Array.get(value, i));
      }
    } else if (isOfProject(value)) {
      writeFields(value);
    } else if (isText(value)) {
      text.append(value).append('\n');
    }
  }

  private static boolean isText(Object value) {
    return value == null
        || value instanceof Number
        || value instanceof Boolean
        || value instanceof CharSequence
        || value instanceof Enum<?>
        || value instanceof Message
        || value.getClass().getName().startsWith("java.util.Optional")
        || value.getClass().getName().startsWith("java.util.concurrent.atomic");
  }

  private static boolean isOfProject(Object value) {
    return value != null
        && !(value instanceof Enum<?>)
        && !(value instanceof Message)
        && !value.getClass().isHidden()
        && value.getClass().getName().startsWith("org.toucansaddle");
  }

  private void writeMap(Map<?, ?> map) throws IllegalAccessException {
    Map<String, Object> sorted = new TreeMap<>();
    map.forEach((key, value) -> sorted.put(String.valueOf(key), value));
    for (Map.Entry<String, Object> entry : sorted.entrySet()) {
      text.append(entry.getKey()).append(" -> ");
      write(entry.getValue());
    }
  }

  private void writeFields(Object value) throws IllegalAccessException {
    Integer known = numbers.putIfAbsent(value, numbers.size());
    if (known != null) {
      text.append('#').append(known).append('\n');
      return;
    }
    for (Class<?> type = value.getClass(); type != Object.class; type = type.getSuperclass()) {
      for (Field field : type.getDeclaredFields()) {
        if (!Modifier.isStatic(field.getModifiers())) {
          field.setAccessible(true);
          text.append(type.getSimpleName()).append('.').append(field.getName()).append(": ");
          write(field.get(value));
        }
      }
    }
  }
}
