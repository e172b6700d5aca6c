import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { DutyHolder } from "../types/DutyHolder.js";
import type { HolderChange } from "../types/HolderChange.js";
import { Predecessor } from "../types/Predecessor.js";
import type { VmIdentity } from "../types/VmIdentity.js";

/** The holder of the failover duty, as far as a VM knows. */
interface KnownHolder {
    holder(): DutyHolder | undefined;
    /** Token of this VM while it is the holder. */
    heldToken(): number | undefined;
    /** Applies a holder, unless one with this token or a higher one is known. */
    apply(holder: DutyHolder, predecessor?: Predecessor): void;
    /** Ends this VM's part as the holder, because it stops. */
    release(): void;
}

/**
 * Creates a VM's knowledge of the holder of the failover duty: the one with the highest token.
 *
 * @param self This VM.
 * @param onChange Called with each new holder or token.
 * @param log Receives a line for each of them.
 * @returns The knowledge; no holder is known yet.
 *
 * @example
 * known.apply(toDutyHolder(record));
 */
export function createKnownHolder(
    self: VmIdentity,
    onChange: (change: HolderChange) => void,
    log: LogTopic,
): KnownHolder {
    let known: DutyHolder | undefined;
    let isReleased = false;

    function heldToken(): number | undefined {
        return known !== undefined && known.incarnation === self.incarnation && !isReleased ? known.token : undefined;
    }

    function apply(
        holder: DutyHolder,
        predecessor = holder.isHandedOver === true ? Predecessor.HandedOver : Predecessor.Unknown,
    ): void {
        if (known !== undefined && holder.token <= known.token) {
            return;
        }
        const wasSelf = heldToken() !== undefined;
        known = holder;
        const { name, token } = holder;
        const isSelf = heldToken() !== undefined;
        log("failover duty has a new holder", { holder: name, token, isSelf, predecessor });
        onChange({ token, isSelf, wasSelf, predecessor });
    }

    return {
        holder: () => known,
        heldToken,
        apply,
        release: () => {
            isReleased = true;
        },
    };
}
