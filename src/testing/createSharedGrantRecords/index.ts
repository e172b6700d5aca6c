import type { GrantRecord } from "../../quotas/types/GrantRecord.js";

/**
 * Creates the record of the VMs with grants for several processes in a test; every write takes effect at once.
 *
 * @returns Creates the view of one process, given its name.
 *
 * @example
 * const recordOf = createSharedGrantRecords();
 * const granter = createQuotaGranter({ ...options, record: recordOf("vm-1") });
 */
export function createSharedGrantRecords(): (granter: string) => GrantRecord {
    const vms = new Set<string>();
    let writer = "";

    return granter => ({
        admits: name => {
            writer ||= granter;
            if (writer === granter) {
                vms.add(name);
            }
            return writer === granter;
        },
        takeOver: onFormer => {
            writer = granter;
            onFormer([...vms]);
        },
    });
}
