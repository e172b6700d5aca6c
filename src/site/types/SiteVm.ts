import type { Address } from "../../network/types/Address.js";

/** One VM of a site: a gateway and an entry. */
export interface SiteVm {
    readonly name: string;
    readonly region: string;
    readonly availabilityZone: string;
    readonly gateway: Address;
    readonly entry: Address;
}
