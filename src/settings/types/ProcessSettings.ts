import type { Address } from "../../network/types/Address.js";

/** Settings common to entries and gateways. */
export interface ProcessSettings {
    /** Unique among all processes of the installation. */
    readonly name: string;
    readonly availabilityZone: string;
    readonly region: string;
    readonly listen: { readonly host: string; readonly port: number; };
    /** Shared by all processes of one installation. */
    readonly peerSecret: string;
    /** Address of the service that publishes the emulated network; left out in production. */
    readonly emulatedNetwork?: { readonly host: string; readonly port: number; };
    /** Seed of all random numbers; chosen randomly at start when left out. */
    readonly randomSeed?: number;
    /** Selects log topics in the syntax of `debug`, for example `tarragonpost:*`. */
    readonly logTopics?: string;
    /** Address of the platform's service. */
    readonly platform: Address;
}
