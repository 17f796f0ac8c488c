package org.oleanderstep.gateway.session;

import java.util.List;

/** The answer to a statement, as the caller receives it. */
public sealed interface Answer {

  /** Stands for the proof in the answer to a statement that needs none. */
  String NO_PROOF = "-";

  /** A success without rows, for statements that the gateway serves without a database. */
  Answer DONE = new Success(List.of(), NO_PROOF);

  /**
   * The statement was executed.
   *
   * @param rows the result rows in order
   * @param proof the database's evidence that it executed the statement; forwarded unchanged
   */
  record Success(List<String> rows, String proof) implements Answer {

    /** Returns whether the answer has a database's proof. */
    public boolean isProven() {
      return !proof.isEmpty() && !proof.equals(NO_PROOF);
    }
  }

  /** The statement did not succeed. */
  record Failure(FailureCode code, String text) implements Answer {}
}
