package org.oleanderstep.load.fleet;

/** The account that proxies and the load tool use at the stand-in targets of a test fleet. */
public final class TargetAccount {

  public static final String USER = "oleanderstep";
  public static final String PASSWORD = "target-account-of-the-test-fleet";

  private TargetAccount() {}
}
