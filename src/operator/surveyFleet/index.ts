import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import { operatorConstants } from "../constants.js";
import type { FleetSurvey } from "../types/FleetSurvey.js";
import type { OperatorSession } from "../types/OperatorSession.js";

/**
 * Asks every gateway for its status and for that of the entries that report to it.
 *
 * @param session The session with the gateways.
 * @returns All answers; a gateway that does not answer in time is listed as silent.
 *
 * @example
 * const { reports, silentGateways } = await surveyFleet(session);
 */
export async function surveyFleet(session: OperatorSession): Promise<FleetSurvey> {
    const first = await session.askAny(client => client.status.get.query());
    const gateways = first.own.gateways;
    const answers: (typeof first | undefined)[] = [];
    const remaining = [...gateways.entries()];

    async function askSome(): Promise<void> {
        for (let next = remaining.shift(); next !== undefined; next = remaining.shift()) {
            const [index, gateway] = next;
            answers[index] = await ask(gateway).catch(() => undefined);
        }
    }

    function ask(gateway: PeerRecord): Promise<typeof first> {
        const signal = AbortSignal.timeout(operatorConstants.callTimeoutMilliseconds);
        return session.clientOf(gateway).status.get.query(undefined, { signal });
    }

    await Promise.all(Array.from({ length: operatorConstants.parallelCalls }, askSome));
    const reports = new Map(
        answers.flatMap(answer => answer === undefined ? [] : [answer.own, ...answer.entries])
            .map(report => [report.process, report] as const),
    );
    return {
        gateways,
        reports: [...reports.values()],
        silentGateways: gateways.filter((_gateway, index) => answers[index] === undefined),
    };
}
