package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: maps, lists, strings, numbers, booleans and null. */
final class Json {

  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  /** Returns a map with the given keys and values in turn. */
  static Map<String, Object> map(Object... pairs) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      map.put((String) pairs[i], pairs[i + 1]);
    }
    return map;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    Object value = json.value();
    json.skipBlanks();
    if (json.at != text.length()) {
      throw new IllegalArgumentException("text after the JSON value");
    }
    return value;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> parseMap(String text) {
    return (Map<String, Object>) parse(text);
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> child(Map<String, Object> parent, String name) {
    Object value = parent.get(name);
    return value instanceof Map ? (Map<String, Object>) value : Map.of();
  }

  private void skipBlanks() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }

  private boolean take(char c) {
    skipBlanks();
    if (at < text.length() && text.charAt(at) == c) {
      at++;
      return true;
    }
    return false;
  }

  private void expect(char c) {
    if (!take(c)) {
      throw new IllegalArgumentException("expected " + c + " at " + at);
    }
  }

  private Object value() {
    skipBlanks();
    char c = text.charAt(at);
    if (c == '{') {
      return object();
    }
    if (c == '[') {
      return array();
    }
    if (c == '"') {
      return string();
    }
    int start = at;
    while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(start, at);
    return switch (word) {
      case "true" -> true;
      case "false" -> false;
      case "null" -> null;
      default -> number(word);
    };
  }

  private static Object number(String word) {
    if (word.matches("-?\\d+")) {
      return Long.parseLong(word);
    }
    return Double.parseDouble(word);
  }

  private Map<String, Object> object() {
    Map<String, Object> map = new LinkedHashMap<>();
    expect('{');
    if (take('}')) {
      return map;
    }
    do {
      skipBlanks();
      String name = string();
      expect(':');
      map.put(name, value());
    } while (take(','));
    expect('}');
    return map;
  }

  private List<Object> array() {
    List<Object> list = new ArrayList<>();
    expect('[');
    if (take(']')) {
      return list;
    }
    do {
      list.add(value());
    } while (take(','));
    expect(']');
    return list;
  }

  private String string() {
    expect('"');
    StringBuilder result = new StringBuilder();
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c == '\\') {
        c = text.charAt(at++);
        switch (c) {
          case 'n' -> result.append('\n');
          case 't' -> result.append('\t');
          case 'r' -> result.append('\r');
          case 'b' -> result.append('\b');
          case 'f' -> result.append('\f');
          case 'u' -> {
            result.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
            at += 4;
          }
          default -> result.append(c);
        }
      } else {
        result.append(c);
      }
    }
    at++;
    return result.toString();
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Object value, StringBuilder out) {
    if (value instanceof Map<?, ?> map) {
      out.append('{');
      String separator = "";
      for (Map.Entry<?, ?> each : map.entrySet()) {
        out.append(separator);
        write(each.getKey(), out);
        out.append(':');
        write(each.getValue(), out);
        separator = ",";
      }
      out.append('}');
    } else if (value instanceof Iterable<?> list) {
      out.append('[');
      String separator = "";
      for (Object each : list) {
        out.append(separator);
        write(each, out);
        separator = ",";
      }
      out.append(']');
    } else if (value instanceof String string) {
      out.append('"');
      for (char c : string.toCharArray()) {
        if (c == '"' || c == '\\') {
          out.append('\\').append(c);
        } else if (c < ' ') {
          out.append(String.format("\\u%04x", (int) c));
        } else {
          out.append(c);
        }
      }
      out.append('"');
    } else {
      out.append(value);
    }
  }
}
