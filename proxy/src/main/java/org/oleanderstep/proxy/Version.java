package org.oleanderstep.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/** Gives access to the version of this build. */
public final class Version {

  private static final String RESOURCE = "/org/oleanderstep/proxy/version.properties";

  private Version() {}

  /** Returns the version, as in {@code 0.1.0}. */
  public static String current() {
    try (InputStream in = Version.class.getResourceAsStream(RESOURCE)) {
      Properties properties = new Properties();
      properties.load(in);
      return properties.getProperty("version");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
