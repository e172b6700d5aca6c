import type { Address } from "../../network/types/Address.js";

/** Settings that every daemon has. */
export interface ProcessSettings {
    /** Unique among all processes of the installation. */
    readonly name: string;
    readonly availabilityZone: string;
    readonly region: string;
    readonly listen: { readonly host: string; readonly port: number; };
    /** Shared by all processes of one installation. */
    readonly peerSecret: string;
    /** Where the emulated network is served; left out in production. */
    readonly emulatedNetwork?: { readonly host: string; readonly port: number; };
    /** Seed of all randomness; drawn at start when left out. */
    readonly randomSeed?: number;
    /** Selects log topics in the syntax of `debug`, for example `tarragonpost:*`. */
    readonly logTopics?: string;
    /** Where the platform's service listens. */
    readonly platform: Address;
}
