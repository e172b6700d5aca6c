import type { Address } from "../../network/types/Address.js";
import type { ProcessSettings } from "./ProcessSettings.js";

/** Settings of a gateway. */
export interface GatewaySettings extends ProcessSettings {
    /** Some gateways to ask first when it starts; need not be complete. */
    readonly seedGateways: readonly Address[];
}
