package org.oleanderstep.standins.member.internal;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import org.oleanderstep.schema.v1.LogEntry;
import org.oleanderstep.schema.v1.Position;

/**
 * The log of a member in a file. Entries survive the end of the process, but not a crash of the
 * machine, since the file is not forced to disk. Not safe for use by several threads; the caller
 * holds the lock of {@link ReplicationState}.
 */
final class ReplicatedLog implements Closeable {

  private static final int LENGTH_BYTES = Integer.BYTES;

  /** Latest entries kept in memory; older ones are read from the file. */
  private static final int CACHED_ENTRIES = 1024;

  private final FileChannel file;
  private final FileChannel committedFile;
  private final LogEntry[] cache = new LogEntry[CACHED_ENTRIES];
  private final ByteBuffer committedBuffer = ByteBuffer.allocate(Long.BYTES);

  /** Terms and end offsets by index; slot 0 is the position before the first entry. */
  private long[] terms = new long[256];

  private long[] ends = new long[256];
  private int last;

  private ReplicatedLog(FileChannel file, FileChannel committedFile) {
    this.file = file;
    this.committedFile = committedFile;
  }

  /** Opens the log in a directory and drops an entry at its end that was written in part. */
  static ReplicatedLog open(Path directory) {
    try {
      Files.createDirectories(directory);
      FileChannel file = openFile(directory.resolve("log"));
      FileChannel committed = openFile(directory.resolve("committed"));
      ReplicatedLog log = new ReplicatedLog(file, committed);
      log.load();
      return log;
    } catch (IOException e) {
      throw new UncheckedIOException("cannot open the log in " + directory, e);
    }
  }

  private static FileChannel openFile(Path path) throws IOException {
    return FileChannel.open(
        path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
  }

  private void load() throws IOException {
    long size = file.size();
    long offset = 0;
    while (offset + LENGTH_BYTES <= size) {
      int length = read(offset, LENGTH_BYTES).getInt();
      long end = offset + LENGTH_BYTES + length;
      if (length <= 0 || end > size) {
        break;
      }
      LogEntry entry;
      try {
        entry = LogEntry.parseFrom(read(offset + LENGTH_BYTES, length));
      } catch (InvalidProtocolBufferException e) {
        break;
      }
      remember(entry, end);
      offset = end;
    }
    file.truncate(offset);
  }

  private ByteBuffer read(long offset, int length) throws IOException {
    ByteBuffer buffer = ByteBuffer.allocate(length);
    while (buffer.hasRemaining()) {
      if (file.read(buffer, offset + buffer.position()) < 0) {
        throw new IOException("the log ends before offset " + (offset + length));
      }
    }
    return buffer.flip();
  }

  private void remember(LogEntry entry, long end) {
    last++;
    if (last == terms.length) {
      terms = Arrays.copyOf(terms, last * 2);
      ends = Arrays.copyOf(ends, last * 2);
    }
    terms[last] = entry.getPosition().getTerm();
    ends[last] = end;
    cache[last % CACHED_ENTRIES] = entry;
  }

  /** Adds an entry after the last one and returns it. */
  LogEntry append(long term, ByteString payload) {
    LogEntry entry =
        LogEntry.newBuilder()
            .setPosition(Position.newBuilder().setTerm(term).setIndex(last + 1))
            .setPayload(payload)
            .build();
    append(entry);
    return entry;
  }

  /** Adds an entry that has the index after the last one. */
  void append(LogEntry entry) {
    if (entry.getPosition().getIndex() != last + 1) {
      throw new IllegalArgumentException(
          "entry " + entry.getPosition().getIndex() + " does not follow index " + last);
    }
    byte[] bytes = entry.toByteArray();
    ByteBuffer buffer = ByteBuffer.allocate(LENGTH_BYTES + bytes.length);
    buffer.putInt(bytes.length).put(bytes).flip();
    try {
      long end = ends[last] + buffer.remaining();
      write(file, buffer, ends[last]);
      remember(entry, end);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot append to the log", e);
    }
  }

  private static void write(FileChannel channel, ByteBuffer buffer, long offset)
      throws IOException {
    long at = offset;
    while (buffer.hasRemaining()) {
      at += channel.write(buffer, at);
    }
  }

  /** Removes all entries with a higher index. */
  void truncateAfter(long index) {
    if (index >= last) {
      return;
    }
    last = Math.toIntExact(index);
    try {
      file.truncate(ends[last]);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot truncate the log", e);
    }
  }

  /** Returns the entry with an index from 1 to {@link #lastIndex}. */
  LogEntry get(long index) {
    if (index < 1 || index > last) {
      throw new IndexOutOfBoundsException("index " + index + " is not in 1.." + last);
    }
    int slot = Math.toIntExact(index);
    LogEntry cached = cache[slot % CACHED_ENTRIES];
    if (cached != null && cached.getPosition().equals(position(index))) {
      return cached;
    }
    long offset = ends[slot - 1] + LENGTH_BYTES;
    try {
      return LogEntry.parseFrom(read(offset, Math.toIntExact(ends[slot] - offset)));
    } catch (IOException e) {
      throw new UncheckedIOException("cannot read log entry " + index, e);
    }
  }

  long lastIndex() {
    return last;
  }

  /** Returns the term of an entry, or 0 for index 0. */
  long termAt(long index) {
    return terms[Math.toIntExact(index)];
  }

  Position position(long index) {
    return Position.newBuilder().setTerm(termAt(index)).setIndex(index).build();
  }

  Position lastPosition() {
    return position(last);
  }

  /** Keeps the committed index, so that a restarted member can serve before it hears a primary. */
  void saveCommitted(long index) {
    committedBuffer.clear().putLong(index).flip();
    try {
      write(committedFile, committedBuffer, 0);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot write the committed index", e);
    }
  }

  /** Returns the committed index that was saved last, or 0. */
  long loadCommitted() {
    ByteBuffer buffer = ByteBuffer.allocate(Long.BYTES);
    try {
      if (committedFile.size() < Long.BYTES) {
        return 0;
      }
      while (buffer.hasRemaining()) {
        committedFile.read(buffer, buffer.position());
      }
    } catch (IOException e) {
      throw new UncheckedIOException("cannot read the committed index", e);
    }
    return Math.min(buffer.flip().getLong(), last);
  }

  @Override
  public void close() {
    try (file;
        committedFile) {
      // Closing the channels is all there is to do.
    } catch (IOException e) {
      throw new UncheckedIOException("cannot close the log", e);
    }
  }
}
