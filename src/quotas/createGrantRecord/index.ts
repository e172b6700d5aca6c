import { z } from "zod";
import type { Clock } from "../../clock/types/Clock.js";
import type { RecordStore } from "../../directory/types/RecordStore.js";
import type { VersionedRecord } from "../../directory/types/VersionedRecord.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import { quotaConstants } from "../constants.js";
import type { GrantRecord } from "../types/GrantRecord.js";

/** Options of `createGrantRecord`. */
interface GrantRecordOptions {
    readonly clock: Pick<Clock, "now" | "sleep">;
    readonly records: RecordStore;
    /** Name of this process, which no other has. */
    readonly granter: string;
    readonly log: LogTopic;
}

const contentSchema = z.object({
    /** The process that wrote the record. */
    granter: z.string(),
    /** Era of the store that the writer knew; a record of an earlier era may come from a copy that lacks VMs. */
    era: z.number(),
    vms: z.array(z.string()),
});

type Content = z.infer<typeof contentSchema>;

const { grantRecordName, grantRecordRetryMilliseconds, recordedVmMilliseconds } = quotaConstants;

/**
 * Creates the record of the VMs that may hold grants of quotas.
 *
 * A VM is recorded before it gets its first grant, so a new holder knows all that may hold one, and need not wait for the
 * end of grants of VMs that have reported. Every write replaces a known revision: once a new holder has written, nothing
 * that its predecessor sent before or sends later takes effect. Nothing is written while the set of VMs stays.
 *
 * @param options Clock, the store, name of this process, and the log.
 * @returns The record; it admits no VM before it has written.
 *
 * @example
 * record.takeOver(vms => unreported.push(...vms));
 * const mayGrant = record.admits("vm-2");
 */
export function createGrantRecord(options: GrantRecordOptions): GrantRecord {
    const { clock, records, granter, log } = options;
    const seenAt = new Map<string, number>();
    let recorded: ReadonlySet<string> = new Set();
    /** The record as this process wrote it last; undefined until it has, and after another process has written. */
    let written: VersionedRecord | undefined;
    let generation = 0;
    let isWriting = false;

    function admits(vm: string): boolean {
        seenAt.set(vm, clock.now());
        if (generation === 0) {
            // A holder without a predecessor does not take over.
            takeOver(() => {});
        }
        if (written !== undefined && !recorded.has(vm)) {
            void extend();
        }
        return written !== undefined && recorded.has(vm);
    }

    function takeOver(onFormer: (vms: readonly string[]) => void): void {
        generation += 1;
        written = undefined;
        recorded = new Set();
        void claimUntilDone(generation, onFormer);
    }

    async function claimUntilDone(claim: number, onFormer: (vms: readonly string[]) => void): Promise<void> {
        while (claim === generation && written === undefined) {
            try {
                await claimOnce(claim, onFormer);
            }
            catch (error) {
                log("record of the VMs with grants was not written; retrying", { reason: (error as Error).message });
                await clock.sleep(grantRecordRetryMilliseconds);
            }
        }
    }

    async function claimOnce(claim: number, onFormer: (vms: readonly string[]) => void): Promise<void> {
        const known = await records.read(grantRecordName);
        const former = contentSchema.safeParse(known?.content).data;
        const vms = former?.vms ?? [];
        const claimed = await write(known, { granter, era: known?.era ?? 0, vms });
        if (claim !== generation) {
            return;
        }
        written = claimed;
        recorded = new Set(vms);
        // They may hold grants of the predecessor, also if this holder is lost before these have ended.
        vms.forEach(vm => seenAt.set(vm, clock.now()));
        if (former !== undefined && former.era === claimed.era) {
            onFormer(former.vms);
        }
    }

    function write(known: VersionedRecord | undefined, content: Content): Promise<VersionedRecord> {
        return known === undefined
            ? records.create(grantRecordName, content)
            : records.replace(grantRecordName, content, known.revision);
    }

    /** Records the VMs that have asked; those that have not for long hold no grant any more and are left out. */
    async function extend(): Promise<void> {
        if (isWriting || written === undefined) {
            return;
        }
        isWriting = true;
        const extended = generation;
        const earliest = clock.now() - recordedVmMilliseconds;
        const vms = [...seenAt].filter(([, at]) => at >= earliest).map(([vm]) => vm).sort();
        try {
            const next = await write(written, { granter, era: written.era, vms });
            if (extended === generation) {
                written = next;
                recorded = new Set(vms);
            }
        }
        catch (error) {
            log("VMs with grants were not recorded", { reason: (error as Error).message });
            await recover(extended);
        }
        isWriting = false;
    }

    /** A write whose answer was lost may have taken effect; any other writer is a later holder. */
    async function recover(extended: number): Promise<void> {
        await clock.sleep(grantRecordRetryMilliseconds);
        try {
            const known = await records.read(grantRecordName);
            const content = contentSchema.safeParse(known?.content).data;
            if (extended === generation) {
                written = content?.granter === granter ? known : undefined;
                recorded = new Set(written === undefined ? [] : content!.vms);
            }
        }
        catch {
            // The store does not answer; the VMs that were recorded before go on with grants.
        }
    }

    return { admits, takeOver };
}
