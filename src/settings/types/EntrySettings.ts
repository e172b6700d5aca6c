import type { Address } from "../../network/types/Address.js";
import type { ReadPolicy } from "../../routing/types/ReadPolicy.js";
import type { ProcessSettings } from "./ProcessSettings.js";

/** Settings of an entry. */
export interface EntrySettings extends ProcessSettings {
    /** The gateway on the same VM. */
    readonly localGateway: Address;
    /** Gateways to ask while the local one is away. */
    readonly otherGateways: readonly Address[];
    /** How the endpoint of a read is chosen. */
    readonly readPolicy: ReadPolicy;
}
