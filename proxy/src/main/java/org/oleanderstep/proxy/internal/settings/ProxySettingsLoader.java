package org.oleanderstep.proxy.internal.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.oleanderstep.schema.v1.ProxySettings;

/** Loads the settings of a proxy. */
public final class ProxySettingsLoader {

  private ProxySettingsLoader() {}

  /**
   * Loads a file, adds the defaults and checks the values.
   *
   * @throws SettingsException that lists all faults
   */
  public static ProxySettings load(Path file) {
    ProxySettings.Builder builder = ProxySettings.newBuilder();
    List<Fault> faults = new ArrayList<>(ProtoJsonReader.read(file, builder));
    if (!faults.isEmpty()) {
      throw new SettingsException(file.toString(), faults);
    }
    return check(file.toString(), builder.build());
  }

  /**
   * Adds the defaults to settings and checks their values.
   *
   * @throws SettingsException that lists all faults
   */
  public static ProxySettings check(String source, ProxySettings settings) {
    ProxySettings filled = ProxySettingsDefaults.fill(settings);
    List<Fault> faults = ProxySettingsChecker.check(filled);
    if (!faults.isEmpty()) {
      throw new SettingsException(source, faults);
    }
    return filled;
  }
}
