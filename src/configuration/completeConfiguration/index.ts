import { configurationConstants } from "../constants.js";
import type { ConfigurationDocument } from "../types/ConfigurationDocument.js";
import type { SystemConfiguration } from "../types/SystemConfiguration.js";

/**
 * Adds the default of every value that no patch has set.
 *
 * @param document The document that results from all patches.
 * @returns The configuration with defaults, for use by services.
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
