/**
 * Stand-in for a member of a database group: real SQL over the Avatica protocol, a replicated log
 * and a control port with terms, fencing and promotion.
 *
 * <p>A writing transaction is committed and answered only after a majority of the group holds its
 * row changes in the log, in the primary's term. A commit that this cannot be said of within 3 s,
 * or before the primary's term ends, gets no answer: the TCP connection is closed. Each HTTP answer
 * has the header {@code Group-Position: incarnation;term:index} with the last position that the
 * member applied, which covers the commit that is answered.
 *
 * <p>Supported statements: queries, {@code INSERT}, {@code UPDATE}, {@code DELETE}, {@code MERGE},
 * {@code COMMIT}, {@code ROLLBACK}, and creating, altering and dropping tables, indexes and schemas
 * (no renames). Tables need a primary key. Sequences other than identity columns, {@code TRUNCATE},
 * savepoints in SQL, and several statements in one text are refused, since the log cannot repeat
 * them.
 *
 * <p>SQLSTATEs of refusals, after which nothing was run: {@code 25006} on a replica or a read-only
 * connection, {@code 57P03} while the member applies its log or the primary has no majority, {@code
 * 53300} over the connection limit, {@code 25P02} after a deadlock until the rollback, {@code
 * 54000} for a transaction above 16 MiB, {@code 0A000} for unsupported statements.
 */
package org.oleanderstep.standins.member;
