import type { VmRecord } from "../../../objectStore/types/VmRecord.js";
import type { LinkChange } from "./LinkChange.js";

/** Settings of the platform stand-in. */
export interface PlatformStandInSettings {
    readonly listen: { readonly host: string; readonly port: number; };
    readonly admin: { readonly host: string; readonly port: number; };
    /** Host and port at which the state of the emulated network is published. */
    readonly network: { readonly host: string; readonly port: number; };
    readonly links: readonly LinkChange[];
    readonly vms: readonly VmRecord[];
    readonly vmListLagMilliseconds: number;
}
