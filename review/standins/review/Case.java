package review;

import java.nio.file.Path;

/** Runs a case: {@code Case NAME RECORD_FILE}. Exits with 1 if the rule was broken, 0 if it held. */
public final class Case {

  private static final int COULD_NOT_RUN = 2;

  /** Thrown if a case can't be judged. */
  static final class NotRunException extends Exception {
    private static final long serialVersionUID = 1;

    NotRunException(String message) {
      super(message);
    }
  }

  interface Body {
    /** Returns whether the rule was broken. */
    boolean run(Recorder record, boolean trouble) throws Exception;
  }

  private Case() {}

  public static void main(String[] args) throws Exception {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    Body body = switch (args[0]) {
      case "session-values" -> SessionValues::run;
      case "acknowledged-commit" -> AcknowledgedCommit::run;
      case "planned-stop" -> PlannedStop::run;
      default -> throw new IllegalArgumentException(args[0]);
    };
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit;
    try (Recorder record = new Recorder(Path.of(args[1]))) {
      try {
        exit = body.run(record, trouble) ? 1 : 0;
        record.say(exit == 1 ? "the rule was broken" : "the rule held");
      } catch (Exception e) {
        record.say("the case could not run: " + e);
        e.printStackTrace();
        exit = COULD_NOT_RUN;
      }
    }
    System.exit(exit);
  }
}
