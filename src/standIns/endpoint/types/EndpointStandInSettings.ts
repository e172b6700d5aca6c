import type { Address } from "../../../network/types/Address.js";

/** Settings of an endpoint stand-in. */
export interface EndpointStandInSettings {
    readonly name: string;
    readonly database: string;
    readonly availabilityZone: string;
    readonly listen: { readonly host: string; readonly port: number; };
    readonly admin: { readonly host: string; readonly port: number; };
    /** The other endpoints of the group, by name. */
    readonly peers: Readonly<Record<string, Address>>;
    /** Number of statements that run concurrently. */
    readonly slots: number;
    readonly connectionLimit: number;
    /** Time to open a connection. */
    readonly connectMilliseconds: number;
    /** Time that each statement occupies its slot. */
    readonly serviceMilliseconds: number;
    /** Largest deviation from the service time, as a share of it. */
    readonly serviceJitterShare: number;
    readonly randomSeed: number;
    readonly emulatedNetwork?: { readonly host: string; readonly port: number; };
}
