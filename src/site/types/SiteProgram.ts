import type { SiteBinary } from "./SiteBinary.js";

/** One program of a site with the settings for its start. */
export interface SiteProgram {
    readonly name: string;
    readonly binary: SiteBinary;
    readonly settings: object;
}
