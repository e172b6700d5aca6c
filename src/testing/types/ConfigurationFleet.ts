import type { GatewayConfiguration } from "../../configuration/types/GatewayConfiguration.js";
import type { EventRecorder } from "../../events/types/EventRecorder.js";
import type { Address } from "../../network/types/Address.js";
import type { Peers } from "../../transport/types/Peers.js";
import type { CountingPlatform } from "./CountingPlatform.js";

/** Gateways of one process with their configuration services, linked over loopback, before a platform in memory. */
export interface ConfigurationFleet {
    readonly platform: CountingPlatform;
    /** Adds a gateway and starts it; the other gateways learn of it at once. */
    add(): Promise<FleetGateway>;
    /** While false, announcements of versions do not pass between gateways. */
    setAnnouncing(isAnnouncing: boolean): void;
    /** Resolves when that version is in force in every gateway. */
    waitForVersion(version: number): Promise<void>;
    stop(): Promise<void>;
}

/** One gateway of the fleet. */
interface FleetGateway {
    readonly name: string;
    readonly address: Address;
    readonly configuration: GatewayConfiguration;
    readonly events: EventRecorder;
    readonly peers: Peers;
    stop(): Promise<void>;
}
