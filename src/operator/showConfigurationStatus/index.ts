import { ExitCode } from "../../commandLine/types/ExitCode.js";
import { describeSurvey } from "../describeSurvey/index.js";
import { surveyFleet } from "../surveyFleet/index.js";
import type { OperatorSession } from "../types/OperatorSession.js";

/**
 * Prints the highest configuration version in force anywhere, how many processes hold it and which are missing.
 *
 * @param session The session with the gateways.
 * @returns Success when it is in force everywhere, failure otherwise.
 *
 * @example
 * await showConfigurationStatus(session);
 */
export async function showConfigurationStatus(session: OperatorSession): Promise<ExitCode> {
    const survey = await surveyFleet(session);
    const version = Math.max(0, ...survey.reports.map(report => report.version));
    const { isEverywhere, line } = describeSurvey(survey, version);
    session.control.write(`${line}\n`);
    return isEverywhere ? ExitCode.Success : ExitCode.Failure;
}
