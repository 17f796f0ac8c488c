package org.oleanderstep.proxy.internal.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.oleanderstep.schema.v1.ProxySettings;
import org.oleanderstep.schema.v1.TargetSettings;
import org.oleanderstep.schema.v1.TlsSettings;

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
    resolveFiles(file.toAbsolutePath().getParent(), builder);
    return check(file.toString(), builder.build());
  }

  /** Files that the settings name are relative to the directory of the settings. */
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
