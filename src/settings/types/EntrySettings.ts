import type { EntryLimits } from "../../callers/types/EntryLimits.js";
import type { Address } from "../../network/types/Address.js";
import type { ReadPolicy } from "../../routing/types/ReadPolicy.js";
import type { ProcessSettings } from "./ProcessSettings.js";

/** Settings of an entry. */
export interface EntrySettings extends ProcessSettings {
    /** The gateway on the same VM. */
    readonly localGateway: Address;
    /** Gateways to use while the local gateway is unreachable. */
    readonly otherGateways: readonly Address[];
    /** Policy that selects the endpoint of a read. */
    readonly readPolicy: ReadPolicy;
    readonly callerLimits: EntryLimits;
}
