import type { Address } from "../../network/types/Address.js";
import type { ProcessSettings } from "./ProcessSettings.js";

/** Settings of a gateway. */
export interface GatewaySettings extends ProcessSettings {
    /** Gateways to contact at start; the list may be incomplete. */
    readonly seedGateways: readonly Address[];
}
