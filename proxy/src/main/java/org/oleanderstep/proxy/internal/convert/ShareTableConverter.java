package org.oleanderstep.proxy.internal.convert;

import org.oleanderstep.core.admission.ShareTable;
import org.oleanderstep.core.model.VmId;
import org.oleanderstep.schema.v1.ShareSlot;

/** Converts share tables. */
public final class ShareTableConverter {

  private ShareTableConverter() {}

  /**
   * Returns the table of a message.
   *
   * @throws IllegalArgumentException if the message is not a valid share table
   */
  public static ShareTable toCore(org.oleanderstep.schema.v1.ShareTable table) {
    return new ShareTable(
        table.getVersion(),
        table.getPublicationId(),
        table.getVmListVersion(),
        table.getSplitOver(),
        table.getSlotsList().stream()
            .map(slot -> new ShareTable.Slot(new VmId(slot.getVm()), slot.getSinceVersion()))
            .toList());
  }

  /** Returns the message of a table. */
  public static org.oleanderstep.schema.v1.ShareTable toProto(ShareTable table) {
    return org.oleanderstep.schema.v1.ShareTable.newBuilder()
        .setVersion(table.version())
        .setPublicationId(table.publicationId())
        .setVmListVersion(table.vmListVersion())
        .setSplitOver(table.splitOver())
        .addAllSlots(
            table.slots().stream()
                .map(
                    slot ->
                        ShareSlot.newBuilder()
                            .setVm(slot.holder().name())
                            .setSinceVersion(slot.since())
                            .build())
                .toList())
        .build();
  }
}
