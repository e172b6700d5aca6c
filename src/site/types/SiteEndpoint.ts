import type { Address } from "../../network/types/Address.js";

/** One endpoint stand-in of a site. */
export interface SiteEndpoint {
    readonly name: string;
    readonly database: string;
    readonly region: string;
    readonly address: Address;
    readonly admin: Address;
}
