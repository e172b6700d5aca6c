import type { Clock } from "../../clock/types/Clock.js";
import type { RecordStore } from "../../directory/types/RecordStore.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import { rankByRendezvous } from "../../ownership/rankByRendezvous/index.js";
import { dutyConstants } from "../constants.js";
import type { createKnownHolder } from "../createKnownHolder/index.js";
import { notifyHosts } from "../notifyHosts/index.js";
import { toDutyHolder } from "../toDutyHolder/index.js";
import type { FleetView } from "../types/FleetView.js";
import type { GrantedLeases } from "../types/GrantedLeases.js";
import type { RecordedHolder } from "../types/RecordedHolder.js";
import type { VmIdentity } from "../types/VmIdentity.js";
import type { VmList } from "../types/VmList.js";
import type { VmPeer } from "../types/VmPeer.js";

/** Options of `createHandOver`. */
interface HandOverOptions {
    readonly clock: Clock;
    readonly records: Pick<RecordStore, "read" | "replace">;
    /** This VM. */
    readonly self: VmIdentity;
    readonly vms: Pick<VmList, "lastContactAt">;
    readonly view: Pick<FleetView, "hostVms">;
    readonly peerOf: (vm: VmIdentity) => VmPeer;
    /** The holder known to this VM. */
    readonly known: Pick<ReturnType<typeof createKnownHolder>, "apply" | "heldToken" | "release">;
    /** The leases of this holder; it grants some only once the end of each order of an earlier holder is known. */
    readonly leases: Pick<GrantedLeases, "isGranting">;
    readonly signal: AbortSignal;
    readonly log: LogTopic;
}

/**
 * Creates the hand-over of the failover duty by a holder that is about to stop.
 *
 * The holder ends its part first and then names its successor in the record, so that at no time two VMs act. While the
 * store does not answer, it stays the holder.
 *
 * @param options Clock, store, known VMs, and the holder's own state.
 * @returns Hands over the duty; `hasKnownEnds` is whether the end of each order of this holder is known.
 *
 * @example
 * await handOver(true);
 */
export function createHandOver(options: HandOverOptions): (hasKnownEnds: boolean) => Promise<void> {
    const { clock, records, self, known, signal, log } = options;
    const { recordName, retryMilliseconds } = dutyConstants;

    return async hasKnownEnds => {
        const token = await verify();
        const successor = token === undefined ? undefined : chooseSuccessor(token);
        if (token === undefined || successor === undefined) {
            log("failover duty is not handed over", { token, successor: successor?.name });
            await clock.sleep(retryMilliseconds, signal);
            return;
        }
        const isHandedOver = hasKnownEnds && options.leases.isGranting();
        known.release();
        const revision = token % dutyConstants.revisionsPerEra;
        const writtenInEra = Math.floor(token / dutyConstants.revisionsPerEra);
        const content: RecordedHolder = { ...successor, writtenInEra, isHandedOver };
        log("hands over the failover duty", { to: successor.name, token, isHandedOver });
        while (!signal.aborted && !await replaceRecord(content, revision)) {
            await clock.sleep(retryMilliseconds, signal);
        }
    };

    /** Returns the token if the store answers, and records this VM as the holder. */
    async function verify(): Promise<number | undefined> {
        const record = await records.read(recordName).catch(() => undefined);
        const token = record && toDutyHolder(record).token;
        return token === known.heldToken() ? token : undefined;
    }

    /** Chooses one of the hosts that called this VM recently. */
    function chooseSuccessor(token: number): VmIdentity | undefined {
        const now = clock.now();
        const hosts = new Map(
            options.view.hostVms()
                .filter(({ name }) =>
                    name !== self.name && now - (options.vms.lastContactAt(name) ?? -Infinity)
                        < dutyConstants.holderContactMilliseconds
                )
                .map(vm => [vm.name, vm]),
        );
        const [name] = rankByRendezvous(`${token}`, [...hosts.keys()]);
        return name === undefined ? undefined : hosts.get(name);
    }

    /** Names the successor in the record; returns false when that may be attempted again. */
    async function replaceRecord(content: RecordedHolder, revision: number): Promise<boolean> {
        try {
            const holder = toDutyHolder(await records.replace(recordName, content, revision));
            known.apply(holder);
            notifyHosts(holder, options);
            return true;
        }
        catch (error) {
            const { kind, message: reason } = toTypedError(error);
            log("record of the holder was not replaced by the hand-over", { kind, reason });
            // A lost answer to an earlier attempt, or a takeover.
            return kind === ErrorKind.Conflict;
        }
    }
}
