package org.oleanderstep.proxy.internal.platform;

/** Signals that a call to the platform failed. */
public abstract sealed class PlatformException extends RuntimeException {

  private static final long serialVersionUID = 1;

  private PlatformException(String message, Throwable cause) {
    super(message, cause);
  }

  /** The condition of an update did not hold; the update had no effect. */
  public static final class Conflict extends PlatformException {
    private static final long serialVersionUID = 1;

    /** Creates the failure of an update of an object. */
    public Conflict(String object) {
      super("object " + object + " was changed by another update", null);
    }
  }

  /** No usable response arrived in time; an update may or may not have taken effect. */
  public static sealed class Unavailable extends PlatformException {
    private static final long serialVersionUID = 1;

    /** Creates the failure of a call. */
    public Unavailable(String detail, Throwable cause) {
      super("the platform did not answer: " + detail, cause);
    }
  }

  /** The response that arrived belongs to another call. */
  public static final class OtherCall extends Unavailable {
    private static final long serialVersionUID = 1;

    /** Creates the failure of a call. */
    public OtherCall(String object) {
      super(object + ": the response belongs to another call", null);
    }
  }

  /** The object does not exist. */
  public static final class NotFound extends PlatformException {
    private static final long serialVersionUID = 1;

    /** Creates the failure of a call that names an object. */
    public NotFound(String object) {
      super("object " + object + " does not exist", null);
    }
  }

  /** The platform rejected the call, for instance because the value is too large. */
  public static final class Rejected extends PlatformException {
    private static final long serialVersionUID = 1;

    /** Creates the failure of a call. */
    public Rejected(String object, int status, String detail) {
      super("the platform rejected the call on " + object + ": " + status + " " + detail, null);
    }
  }
}
