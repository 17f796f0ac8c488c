import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * A client writes in a transaction, then sends another write and the COMMIT ahead while the
 * databases are busy for a moment. If the second write is refused with a promise, the first one must
 * not be kept.
 */
final class BusyInside {

  private static final int ROUNDS = 8;
  private static final int BUSY_MILLIS = 1_000;

  private BusyInside() {}

  public static void main(String[] arguments) {
    Case.main(arguments, BusyInside::run);
  }

  private static int run(Path record) throws Exception {
    try (Rig rig = new Rig(record, 2, new Group.Load())) {
      Thread.sleep(3_000);
      int kept = 0;
      int answered = 0;
      for (int i = 0; i < ROUNDS; i++) {
        String first = "a" + i;
        String second = "b" + i;
        try (Client client =
            new Client(rig.proxies.get(i % 2).front, "orders", "key-ordinary", 5_000)) {
          String begin = client.query("BEGIN");
          String one = client.query("WRITE " + first + " one");
          if (Rig.hasTrouble()) {
            rig.first.busyUntil = System.nanoTime() + BUSY_MILLIS * 1_000_000L;
            rig.record.write("databases", "are busy for " + BUSY_MILLIS + " ms");
          }
          String messages =
              "QUERY " + Client.newId() + " WRITE " + second + " two\r\nQUERY " + Client.newId()
                  + " COMMIT\r\n";
          client.send(messages.getBytes(StandardCharsets.ISO_8859_1));
          String two = client.answer();
          String commit = client.answer();
          answered++;
          rig.record.write(
              "client",
              "BEGIN: " + begin + " | WRITE " + first + ": " + one + " | WRITE " + second + ": "
                  + two + " | COMMIT: " + commit);
          boolean promised = two.startsWith("ERROR BUSY") || two.startsWith("ERROR ABORTED");
          String value = rig.first.lastValue(first);
          rig.record.write("databases", first + " is " + (value.isEmpty() ? "not there" : value));
          if (promised && value.equals("one")) {
            kept++;
          }
        } catch (IOException e) {
          rig.record.write("client", "ends: " + e.getMessage());
        }
        Thread.sleep(1_500);
      }
      rig.record.write(
          "verdict", kept + " of " + answered + " transactions kept a write after a promise");
      if (answered == 0) {
        return Rig.NOT_RUN;
      }
      rig.record.write("verdict", kept > 0 ? "BROKEN" : "HELD");
      return kept > 0 ? Rig.BROKEN : Rig.HELD;
    }
  }
}
