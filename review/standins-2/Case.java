import java.nio.file.Path;

/** Runs a case and ends with the exit code of a script. */
final class Case {

  /** A case; returns the exit code. */
  interface Body {
    int run(Path record) throws Exception;
  }

  private static final int LIMIT_MILLIS = 115_000;

  private Case() {}

  static void main(String[] arguments, Body body) {
    Thread limit = new Thread(Case::endLate);
    limit.setDaemon(true);
    limit.start();
    int code = Rig.NOT_RUN;
    try {
      code = body.run(Path.of(arguments[0]));
    } catch (Exception e) {
      System.err.println("the case could not run: " + e);
    }
    System.exit(code);
  }

  private static void endLate() {
    try {
      Thread.sleep(LIMIT_MILLIS);
    } catch (InterruptedException e) {
      return;
    }
    System.err.println("the case took too long");
    System.exit(Rig.NOT_RUN);
  }
}
