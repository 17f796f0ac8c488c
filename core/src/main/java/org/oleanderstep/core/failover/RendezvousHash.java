package org.oleanderstep.core.failover;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import org.oleanderstep.core.model.DatabaseId;
import org.oleanderstep.core.model.VmId;

/** Ranks VMs for a database, so that each database has another order of candidates. */
final class RendezvousHash {

  private RendezvousHash() {}

  /** Returns the weight of a VM for a database; the highest weight ranks first. */
  static long weight(VmId vm, DatabaseId database) {
    // The zero byte keeps the names apart.
    String text = vm.name() + '\0' + database;
    try {
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
      return ByteBuffer.wrap(digest).getLong();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /** Returns the number of other VMs that rank before this one. */
  static int rank(VmId self, Collection<VmId> vms, DatabaseId database) {
    long own = weight(self, database);
    return (int) vms.stream().filter(vm -> weight(vm, database) > own).count();
  }
}
