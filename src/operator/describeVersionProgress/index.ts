import { operatorConstants } from "../constants.js";
import type { FleetStatus } from "../types/FleetStatus.js";

/** Progress of a configuration version through the fleet. */
interface VersionProgress {
    readonly isEverywhere: boolean;
    /** One human-readable line. */
    readonly line: string;
}

/**
 * Describes in how many processes a configuration version is in force, and which are missing.
 *
 * @param status Status of the fleet.
 * @param version The version to describe.
 * @returns Whether the version is in force everywhere, and a line that lists the missing processes.
 *
 * @example
 * describeVersionProgress(status, 7).line; // "Version 7 is in force in 6 of 7 processes; missing: vm-2-gateway (no answer)."
 */
export function describeVersionProgress(status: FleetStatus, version: number): VersionProgress {
    const behind = status.reports.filter(report => report.version < version);
    const missing = [
        ...status.silentGateways.map(gateway => `${gateway.name} (no answer)`),
        ...behind.map(report => `${report.process} (version ${report.version})`),
    ];
    const total = status.reports.length + status.silentGateways.length;
    const count = `Version ${version} is in force in ${total - missing.length} of ${total} processes`;
    if (missing.length === 0) {
        return { isEverywhere: true, line: `${count}.` };
    }
    const listed = missing.slice(0, operatorConstants.maximumListedProcesses).join(", ");
    const others = missing.length - operatorConstants.maximumListedProcesses;
    const rest = others > 0 ? ` and ${others} more` : "";
    const uncounted = status.silentGateways.length > 0
        ? " Entries of gateways that do not answer are not counted."
        : "";
    return { isEverywhere: false, line: `${count}; missing: ${listed}${rest}.${uncounted}` };
}
