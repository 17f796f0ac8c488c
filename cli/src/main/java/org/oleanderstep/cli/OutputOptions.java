package org.oleanderstep.cli;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;

/** Command-line option for the output format. */
public class OutputOptions {

  @Option(name = "--output", title = "FORMAT", description = "text or json; the default is text")
  @AllowedRawValues(allowedValues = {"text", "json"})
  private String output = "text";

  boolean json() {
    return output.equals("json");
  }
}
