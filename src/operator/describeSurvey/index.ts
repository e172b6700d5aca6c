import { operatorConstants } from "../constants.js";
import type { FleetSurvey } from "../types/FleetSurvey.js";

/** How far a version has come. */
interface VersionProgress {
    readonly isEverywhere: boolean;
    /** One line for people. */
    readonly line: string;
}

/**
 * Describes in how many processes a configuration version is in force, and which are missing.
 *
 * @param survey The answers of all gateways.
 * @param version The version asked about.
 * @returns Whether it is in force everywhere, and a line that says so.
 *
 * @example
 * describeSurvey(survey, 7).line; // "Version 7 is in force in 6 of 7 processes; missing: vm-2-gateway (no answer)."
 */
export function describeSurvey(survey: FleetSurvey, version: number): VersionProgress {
    const behind = survey.reports.filter(report => report.version < version);
    const missing = [
        ...survey.silentGateways.map(gateway => `${gateway.name} (no answer)`),
        ...behind.map(report => `${report.process} (version ${report.version})`),
    ];
    const total = survey.reports.length + survey.silentGateways.length;
    const count = `Version ${version} is in force in ${total - missing.length} of ${total} processes`;
    if (missing.length === 0) {
        return { isEverywhere: true, line: `${count}.` };
    }
    const named = missing.slice(0, operatorConstants.maximumNamedProcesses).join(", ");
    const others = missing.length - operatorConstants.maximumNamedProcesses;
    const rest = others > 0 ? ` and ${others} more` : "";
    const unknown = survey.silentGateways.length > 0 ? " Entries of gateways that do not answer are not counted." : "";
    return { isEverywhere: false, line: `${count}; missing: ${named}${rest}.${unknown}` };
}
