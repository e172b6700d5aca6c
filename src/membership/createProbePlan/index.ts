import { hashText } from "../../hashing/hashText/index.js";
import { mixHashes } from "../../hashing/mixHashes/index.js";
import { chooseBridges } from "../chooseBridges/index.js";
import { chooseProbeTargets } from "../chooseProbeTargets/index.js";
import type { PeerRecord } from "../types/PeerRecord.js";
import { PeerState } from "../types/PeerState.js";
import type { PeerTable } from "../types/PeerTable.js";

/** The gateways that a gateway probes; recomputed after each change of the membership. */
interface ProbePlan {
    /** Members of the own zone. */
    localTargets(): readonly PeerRecord[];
    /** One bridge of each other zone, lost zones included; empty unless this gateway is a bridge. */
    remoteTargets(): readonly PeerRecord[];
    isBridge(): boolean;
    /** Gateways of a zone that are not dead. */
    membersOf(availabilityZone: string): readonly PeerRecord[];
}

/**
 * Creates the plan of the gateways to probe.
 *
 * @param table The known gateways and zones.
 * @returns The plan.
 *
 * @example
 * const [target] = plan.localTargets();
 */
export function createProbePlan(table: PeerTable): ProbePlan {
    let computed: ReturnType<typeof compute> | undefined;
    table.onChange(() => {
        computed = undefined;
    });

    function compute() {
        const self = table.self();
        const ownHash = hashText(self.name);
        const zones = new Map<string, PeerRecord[]>([[self.availabilityZone, []]]);
        for (const record of table.all().filter(other => other.state !== PeerState.Dead)) {
            const members = zones.get(record.availabilityZone) ?? [];
            members.push(record);
            zones.set(record.availabilityZone, members);
        }
        const ownMembers = zones.get(self.availabilityZone) ?? [];
        const isBridge = chooseBridges(ownMembers).some(member => member.name === self.name);
        const computeWeight = (record: PeerRecord): number => mixHashes(ownHash, hashText(record.name));
        const remoteTargets = [...zones]
            .filter(([zone]) => isBridge && zone !== self.availabilityZone)
            .map(([, members]) =>
                chooseBridges(members).reduce((best, member) =>
                    computeWeight(member) > computeWeight(best) ? member : best
                )
            );
        const others = ownMembers.filter(member => member.name !== self.name);
        return { zones, isBridge, remoteTargets, localTargets: chooseProbeTargets(self, others) };
    }

    function plan(): ReturnType<typeof compute> {
        computed ??= compute();
        return computed;
    }

    return {
        localTargets: () => plan().localTargets,
        remoteTargets: () => plan().remoteTargets,
        isBridge: () => plan().isBridge,
        membersOf: availabilityZone => plan().zones.get(availabilityZone) ?? [],
    };
}
