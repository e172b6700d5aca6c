import type { GatewayConfiguration } from "../../configuration/types/GatewayConfiguration.js";
import type { EventRecorder } from "../../events/types/EventRecorder.js";
import type { Address } from "../../network/types/Address.js";
import type { Peers } from "../../transport/types/Peers.js";
import type { CountingPlatform } from "./CountingPlatform.js";

/** Gateways in one process with their configuration services, connected over loopback, and an in-memory platform. */
export interface ConfigurationFleet {
    readonly platform: CountingPlatform;
    /** Adds a gateway and starts it; the memberships of the other gateways are updated at once. */
    add(): Promise<FleetGateway>;
    /** While false, announcements of versions are not delivered between gateways. */
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
