import { platformConstants } from "../constants.js";

/**
 * Finds the settings file that the platform wrote for this process.
 *
 * @returns Its path; undefined when the platform did not set the environment variable.
 *
 * @example
 * const file = findSettingsFile() ?? "vm.toml";
 */
export function findSettingsFile(): string | undefined {
    return process.env[platformConstants.settingsFileVariable];
}
