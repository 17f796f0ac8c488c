package org.oleanderstep.load.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.model.GlobalMetadata;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.Callable;

/** Prints the commands of the load tool. */
@Command(name = "help", description = "Prints the commands and their options.")
public final class HelpCommand implements Callable<Integer> {

  @AirlineModule private GlobalMetadata<Callable<Integer>> metadata;

  @Override
  public Integer call() throws IOException {
    Help.help(metadata, List.of());
    return 0;
  }
}
