import type { Address } from "../../network/types/Address.js";
import type { PortReservation } from "./PortReservation.js";
import type { SiteDescription } from "./SiteDescription.js";
import type { SiteEndpoint } from "./SiteEndpoint.js";
import type { SiteVm } from "./SiteVm.js";

/** A site with all its addresses. */
export interface SitePlan {
    readonly description: SiteDescription;
    /** The ports of all addresses; released when the site has stopped. */
    readonly reservation: PortReservation;
    readonly platform: Address;
    readonly platformAdmin: Address;
    readonly network: Address;
    readonly endpoints: readonly SiteEndpoint[];
    readonly vms: readonly SiteVm[];
}
