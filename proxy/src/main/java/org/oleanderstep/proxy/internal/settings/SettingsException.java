package org.oleanderstep.proxy.internal.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Signals that settings cannot be used; the message lists all errors. */
public final class SettingsException extends RuntimeException {

  private static final long serialVersionUID = 1;

  /** Creates the exception for settings from a source, such as a file. */
  public SettingsException(String source, List<ValidationError> errors) {
    super(
        errors.stream()
            .map(error -> "  " + error)
            .collect(Collectors.joining("\n", source + " cannot be used:\n", "")));
  }
}
