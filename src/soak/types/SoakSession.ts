import type { ReadGuarantee } from "../../directory/types/ReadGuarantee.js";
import type { CallerStandIn } from "../../platform/standIns/types/CallerStandIn.js";

/** An open session of a soak's caller. */
export interface SoakSession {
    readonly name: string;
    /** Number of the VM that it is connected to. */
    readonly vm: number;
    readonly guarantee: ReadGuarantee;
    readonly caller: CallerStandIn;
    /** Names of the statements that it prepared, by whether they write. */
    readonly prepared: { readonly read: string; readonly write: string; };
}
