package org.oleanderstep.load.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A child process that can be killed, frozen and started again.
 *
 * <pre>{@code
 * ManagedProcess proxy = ManagedProcess.java("vm-1", Main.class, heap, log, "proxy", "--settings", file);
 * proxy.start();
 * proxy.freeze();
 * proxy.resume();
 * proxy.close();
 * }</pre>
 */
public final class ManagedProcess implements AutoCloseable {

  private static final Duration STOP_LIMIT = Duration.ofSeconds(5);

  private final String name;
  private final List<String> command;
  private final Path log;
  private Process process;

  private ManagedProcess(String name, List<String> command, Path log) {
    this.name = name;
    this.command = List.copyOf(command);
    this.log = log;
  }

  /**
   * Describes a Java program that runs with the class path of this process.
   *
   * @param heapMebibytes limit of the program's heap
   */
  public static ManagedProcess java(
      String name, String mainClass, int heapMebibytes, Path log, String... arguments) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.add("-Xmx" + heapMebibytes + "m");
    command.add("-XX:+UseSerialGC");
    command.add("-XX:+ExitOnOutOfMemoryError");
    command.add("-Xshare:auto");
    command.add("--add-opens=java.base/jdk.internal.misc=ALL-UNNAMED");
    command.add("-cp");
    command.add(System.getProperty("java.class.path"));
    command.add(mainClass);
    command.addAll(List.of(arguments));
    return new ManagedProcess(name, command, log);
  }

  /** Returns the name that faults and logs use. */
  public String name() {
    return name;
  }

  /**
   * Starts the process, also after it was killed.
   *
   * @throws IOException if the program can't be started
   */
  public synchronized void start() throws IOException {
    if (isAlive()) {
      throw new IllegalStateException(name + " already runs as process " + process.pid());
    }
    process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
  }

  /** Returns whether the process runs; a frozen one does. */
  public synchronized boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Returns the id of the running process. */
  public synchronized long pid() {
    if (process == null) {
      throw new IllegalStateException(name + " was never started");
    }
    return process.pid();
  }

  /** Ends the process with SIGKILL and waits until it is gone. */
  public void kill() {
    current()
        .destroyForcibly()
        .onExit()
        .orTimeout(STOP_LIMIT.toMillis(), TimeUnit.MILLISECONDS)
        .join();
  }

  /** Sends SIGTERM and returns at once. */
  public void terminate() {
    current().destroy();
  }

  /** Stops the process with SIGSTOP; its connections stay open. */
  public void freeze() throws IOException, InterruptedException {
    signal("STOP");
  }

  /** Lets a frozen process go on. */
  public void resume() throws IOException, InterruptedException {
    signal("CONT");
  }

  /** Waits for the end of the process; returns false if it still runs after the limit. */
  public boolean awaitExit(Duration limit) throws InterruptedException {
    return current().waitFor(limit.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Returns the exit status of a process that has ended. */
  public int exitStatus() {
    return current().exitValue();
  }

  @Override
  public void close() {
    if (isAlive()) {
      kill();
    }
  }

  private synchronized Process current() {
    return process;
  }

  private void signal(String signal) throws IOException, InterruptedException {
    Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(pid())).start();
    int status = kill.waitFor();
    if (status != 0) {
      throw new IOException("kill -" + signal + " of " + name + " failed with status " + status);
    }
  }
}
