import type { Clock } from "../../clock/types/Clock.js";
import { createStoreFreshness } from "../../directory/createStoreFreshness/index.js";
import type { RecordStore } from "../../directory/types/RecordStore.js";
import { createDuty } from "../../duty/createDuty/index.js";
import type { Announcement } from "../../duty/types/Announcement.js";
import type { Duty } from "../../duty/types/Duty.js";
import type { VmIdentity } from "../../duty/types/VmIdentity.js";
import type { VmPeer } from "../../duty/types/VmPeer.js";
import type { VmQuotas } from "../../quotas/types/VmQuotas.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { createManualClock } from "../createManualClock/index.js";
import { createMemoryRecords } from "../createMemoryRecords/index.js";
import { createPopulatedDirectory } from "../createPopulatedDirectory/index.js";
import { createVmIdentity } from "../createVmIdentity/index.js";

/** A call from one VM to another. */
interface FleetCall {
    readonly from: string;
    readonly to: string;
}

/** One VM of the fleet. */
interface FleetVm {
    readonly identity: VmIdentity;
    readonly duty: Duty;
    readonly announcements: Announcement[];
}

/** Options of `createDutyFleet`. */
interface DutyFleetOptions {
    /** Clock and store that the VMs share with another fleet. */
    readonly clock?: ReturnType<typeof createManualClock>;
    readonly records?: ReturnType<typeof createMemoryRecords>;
    /** Creates what a VM knows of quotas; it takes no part in them where this is left out. */
    readonly createVmQuotas?: (name: string, clock: Clock) => VmQuotas;
    /** Returns the zone and the capacity of a VM where they differ from the defaults. */
    readonly describe?: (name: string) => Parameters<typeof createVmIdentity>[1];
}

const grantingIntervalMilliseconds = 100;

/**
 * Creates VMs that share a store and call each other in memory, with links that can be cut.
 *
 * @param names Names of the VMs.
 * @param options Zones and capacities of the VMs.
 * @returns The fleet, not yet started.
 *
 * @example
 * const fleet = createDutyFleet(["vm-1", "vm-2"]);
 * await fleet.clock.advance(1_000);
 */
export function createDutyFleet(names: readonly string[], options: DutyFleetOptions = {}) {
    const { clock = createManualClock(), records = createMemoryRecords() } = options;
    /** Links on which calls fail, written `from>to`; all links of a failed VM are in the set. */
    const cuts = new Set<string>();
    /** VMs that the store refuses. */
    const refusedByStore = new Set<string>();
    const vms = new Map<string, FleetVm>();
    /** The calls between VMs since the test cleared the list. */
    const calls: FleetCall[] = [];

    function peerOf(from: string, { name: to }: VmIdentity): VmPeer {
        const call = async <Result>(handle: (duty: Duty) => Result | Promise<Result>): Promise<Result> => {
            calls.push({ from, to });
            if (cuts.has(`${from}>${to}`)) {
                throw new Error("the VM did not answer in time");
            }
            return handle(vms.get(to)!.duty);
        };
        return {
            renew: renewal => call(duty => duty.answerRenewal(renewal)),
            readHolder: () => call(duty => duty.readHolder()),
            queryHolderContact: token => call(duty => duty.hasHolderContact(token)),
            notifyOfHolder: holder => call(duty => duty.applyHolder(holder)),
            announce: announcement => call(duty => duty.applyAnnouncement(announcement)),
            queryReachability: () => Promise.resolve(false),
            command: () => Promise.reject(new Error("no endpoint is reachable in this test")),
        };
    }

    /** The store as one VM reaches it. */
    function recordsOf(name: string): RecordStore {
        const reach = <Result>(call: () => Promise<Result>): Promise<Result> =>
            refusedByStore.has(name) ? Promise.reject(new Error("the store refuses this VM")) : call();
        return {
            read: key => reach(() => records.read(key)),
            create: (key, content) => reach(() => records.create(key, content)),
            replace: (key, content, revision) => reach(() => records.replace(key, content, revision)),
        };
    }

    names.forEach((name, index) => {
        const identity = createVmIdentity(name, { incarnation: `${index}`, ...options.describe?.(name) });
        const announcements: Announcement[] = [];
        const vmQuotas = options.createVmQuotas?.(name, clock);
        const duty = createDuty({
            clock,
            ...vmQuotas === undefined ? {} : { quotas: vmQuotas },
            random: createRandomSource(index),
            records: recordsOf(name),
            directory: createPopulatedDirectory(clock, []),
            freshness: createStoreFreshness(clock),
            self: identity,
            isFirstStart: true,
            peerOf: vm => peerOf(name, vm),
            onAnnouncement: announcement => announcements.push(announcement),
            log: () => {},
        });
        vms.set(name, { identity, duty, announcements });
    });

    /** In place of the coordinator: lets a new holder grant leases once its predecessor can no longer act. */
    async function runGranting(duty: Duty): Promise<void> {
        for (;;) {
            await clock.sleep(grantingIntervalMilliseconds);
            if (duty.heldToken() !== undefined && !duty.isGranting()) {
                duty.startGranting();
            }
        }
    }

    function isolate(name: string): void {
        for (const other of names.filter(candidate => candidate !== name)) {
            cuts.add(`${name}>${other}`);
            cuts.add(`${other}>${name}`);
        }
    }

    return {
        clock,
        records,
        refusedByStore,
        cuts,
        calls,
        isolate,
        dutyOf: (name: string) => vms.get(name)!.duty,
        announcementsOf: (name: string) => vms.get(name)!.announcements,
        identityOf: (name: string) => vms.get(name)!.identity,
        holders: () => names.filter(name => vms.get(name)!.duty.heldToken() !== undefined),
        start: async () => {
            for (const { duty } of vms.values()) {
                await duty.start();
                void runGranting(duty);
            }
        },
    };
}
