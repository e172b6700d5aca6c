import { configurationConstants } from "../constants.js";
import type { ConfigurationDocument } from "../types/ConfigurationDocument.js";
import type { SystemConfiguration } from "../types/SystemConfiguration.js";

/**
 * Fills in the defaults of everything that no patch has set.
 *
 * @param document What the patches add up to.
 * @returns The configuration as services see it.
 *
 * @example
 * completeConfiguration({}).limits.requestBytes;
 */
export function completeConfiguration(document: ConfigurationDocument): SystemConfiguration {
    return {
        databases: document.databases ?? {},
        callers: document.callers ?? {},
        limits: { ...configurationConstants.defaultLimits, ...document.limits },
        tokenSecret: document.tokenSecret ?? "",
    };
}
