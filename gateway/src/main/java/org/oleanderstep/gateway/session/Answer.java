package org.oleanderstep.gateway.session;

import java.util.List;

/** The answer to a statement, as the caller receives it. */
public sealed interface Answer {

  /** A success without rows, for statements that the gateway serves without a database. */
  Answer DONE = new Success(List.of(), "-");

  /**
   * The statement was executed.
   *
   * @param rows the result rows in order
   * @param proof the database's evidence that it executed the statement; forwarded unchanged
   */
  record Success(List<String> rows, String proof) implements Answer {}

  /** The statement did not succeed. */
  record Failure(FailureCode code, String text) implements Answer {}
}
