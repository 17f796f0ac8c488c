import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer; objects are maps, arrays are lists. */
final class Json {

  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    return new Json(text).value();
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(Object value) {
    return (Map<String, Object>) value;
  }

  private char peek() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
    if (at >= text.length()) {
      throw new IllegalArgumentException("the JSON text ends early");
    }
    return text.charAt(at);
  }

  private void expect(char wanted) {
    if (peek() != wanted) {
      throw new IllegalArgumentException("expected " + wanted + " at " + at);
    }
    at++;
  }

  private Object value() {
    switch (peek()) {
      case '{':
        return readObject();
      case '[':
        return readArray();
      case '"':
        return readString();
      default:
        return readWord();
    }
  }

  private Map<String, Object> readObject() {
    Map<String, Object> map = new LinkedHashMap<>();
    expect('{');
    while (peek() != '}') {
      String name = readString();
      expect(':');
      map.put(name, value());
      if (peek() == ',') {
        at++;
      }
    }
    at++;
    return map;
  }

  private List<Object> readArray() {
    List<Object> list = new ArrayList<>();
    expect('[');
    while (peek() != ']') {
      list.add(value());
      if (peek() == ',') {
        at++;
      }
    }
    at++;
    return list;
  }

  private String readString() {
    expect('"');
    StringBuilder read = new StringBuilder();
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c != '\\') {
        read.append(c);
        continue;
      }
      char escaped = text.charAt(at++);
      switch (escaped) {
        case 'n' -> read.append('\n');
        case 'r' -> read.append('\r');
        case 't' -> read.append('\t');
        case 'b' -> read.append('\b');
        case 'f' -> read.append('\f');
        case 'u' -> {
          read.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
          at += 4;
        }
        default -> read.append(escaped);
      }
    }
    at++;
    return read.toString();
  }

  private Object readWord() {
    int start = at;
    while (at < text.length() && ",]} \r\n\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(start, at);
    return switch (word) {
      case "null" -> null;
      case "true" -> Boolean.TRUE;
      case "false" -> Boolean.FALSE;
      default -> word.matches("-?\\d{1,18}") ? (Object) Long.parseLong(word) : Double.parseDouble(word);
    };
  }

  static String print(Object value) {
    StringBuilder out = new StringBuilder();
    print(value, out);
    return out.toString();
  }

  private static void print(Object value, StringBuilder out) {
    if (value instanceof Map<?, ?> map) {
      out.append('{');
      String separator = "";
      for (Map.Entry<?, ?> each : map.entrySet()) {
        out.append(separator);
        print(each.getKey(), out);
        out.append(':');
        print(each.getValue(), out);
        separator = ",";
      }
      out.append('}');
    } else if (value instanceof List<?> list) {
      out.append('[');
      String separator = "";
      for (Object each : list) {
        out.append(separator);
        print(each, out);
        separator = ",";
      }
      out.append(']');
    } else if (value instanceof String string) {
      out.append('"');
      for (char c : string.toCharArray()) {
        if (c == '"' || c == '\\') {
          out.append('\\').append(c);
        } else if (c < ' ' || c > '~') {
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
