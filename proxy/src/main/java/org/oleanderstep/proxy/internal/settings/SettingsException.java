package org.oleanderstep.proxy.internal.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Settings that cannot be used; the message lists all faults. */
public final class SettingsException extends RuntimeException {

  private static final long serialVersionUID = 1;

  /** Creates the exception for settings from a source, such as a file. */
  public SettingsException(String source, List<Fault> faults) {
    super(
        faults.stream()
            .map(fault -> "  " + fault)
            .collect(Collectors.joining("\n", source + " cannot be used:\n", "")));
  }
}
