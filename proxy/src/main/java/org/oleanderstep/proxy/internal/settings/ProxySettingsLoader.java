package org.oleanderstep.proxy.internal.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.oleanderstep.schema.v1.ProxySettings;
import org.oleanderstep.schema.v1.TargetSettings;
import org.oleanderstep.schema.v1.TlsSettings;

/** Loads the settings of a proxy from a file. */
public final class ProxySettingsLoader {

  private ProxySettingsLoader() {}

  /**
   * Loads a file, applies the defaults and checks the values.
   *
   * @throws SettingsException if there are errors; lists all of them
   */
  public static ProxySettings load(Path file) {
    ProxySettings.Builder builder = ProxySettings.newBuilder();
    List<ValidationError> errors = new ArrayList<>(ProtoJsonReader.read(file, builder));
    if (!errors.isEmpty()) {
      throw new SettingsException(file.toString(), errors);
    }
    resolveFiles(file.toAbsolutePath().getParent(), builder);
    return check(file.toString(), builder.build());
  }

  /** Resolves the paths of files in the settings against the directory of the settings file. */
  private static void resolveFiles(Path directory, ProxySettings.Builder settings) {
    if (settings.hasTarget()) {
      TargetSettings.Builder target = settings.getTargetBuilder();
      target.setPasswordFile(resolve(directory, target.getPasswordFile()));
    }
    if (settings.hasCallerTls()) {
      resolveFiles(directory, settings.getCallerTlsBuilder());
    }
    if (settings.hasPeerTls()) {
      resolveFiles(directory, settings.getPeerTlsBuilder());
    }
  }

  private static void resolveFiles(Path directory, TlsSettings.Builder tls) {
    tls.setCertificateFile(resolve(directory, tls.getCertificateFile()));
    tls.setPrivateKeyFile(resolve(directory, tls.getPrivateKeyFile()));
    tls.setTrustedCertificatesFile(resolve(directory, tls.getTrustedCertificatesFile()));
  }

  private static String resolve(Path directory, String file) {
    return file.isEmpty() ? file : directory.resolve(file).toString();
  }

  /**
   * Applies the defaults to settings and checks the values.
   *
   * @throws SettingsException if there are errors; lists all of them
   */
  public static ProxySettings check(String source, ProxySettings settings) {
    ProxySettings settingsWithDefaults = ProxySettingsDefaults.applyDefaults(settings);
    List<ValidationError> errors = ProxySettingsChecker.check(settingsWithDefaults);
    if (!errors.isEmpty()) {
      throw new SettingsException(source, errors);
    }
    return settingsWithDefaults;
  }
}
