package org.oleanderstep.standins.member;

import java.net.InetSocketAddress;
import org.oleanderstep.schema.v1.MemberSettings;
import org.oleanderstep.schema.v1.MemberStatus;
import org.oleanderstep.standins.http.Stutter;
import org.oleanderstep.standins.member.internal.MemberRuntime;

/**
 * A running member of a database group.
 *
 * <pre>{@code
 * try (Member member = Member.start(settings)) {
 *   DriverManager.getConnection(
 *       "jdbc:avatica:remote:url=http://127.0.0.1:" + member.sqlAddress().getPort()
 *           + ";serialization=protobuf;authentication=BASIC"
 *           + ";avatica_user=proxy;avatica_password=secret");
 * }
 * }</pre>
 */
public final class Member implements AutoCloseable {

  private final MemberRuntime runtime;

  private Member(MemberRuntime runtime) {
    this.runtime = runtime;
  }

  /**
   * Starts a member; it serves its control port and SQL port when this method returns.
   *
   * @throws IllegalArgumentException if the settings are incomplete
   * @throws java.io.UncheckedIOException if a port or the data directory cannot be used
   */
  public static Member start(MemberSettings settings) {
    return start(settings, Stutter.DEFAULT);
  }

  /** Starts a member that repeats responses as told. */
  public static Member start(MemberSettings settings, Stutter stutter) {
    return new Member(MemberRuntime.start(settings, stutter));
  }

  /** Returns the address on which SQL is served. */
  public InetSocketAddress sqlAddress() {
    return runtime.sqlAddress();
  }

  /** Returns the address of the control port. */
  public InetSocketAddress controlAddress() {
    return runtime.controlAddress();
  }

  /** Returns what the member reports on its control port. */
  public MemberStatus status() {
    return runtime.status();
  }

  /** Stops the member and closes its connections; its log and promise stay on disk. */
  @Override
  public void close() {
    runtime.close();
  }
}
