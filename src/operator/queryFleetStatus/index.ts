import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import { operatorConstants } from "../constants.js";
import type { CommandContext } from "../types/CommandContext.js";
import type { FleetStatus } from "../types/FleetStatus.js";

/**
 * Queries every gateway for its status and the status of the entries that report to it.
 *
 * @param context Gateway clients and output of the command.
 * @returns Status of the fleet; `silentGateways` lists the gateways that did not answer in time.
 *
 * @example
 * const { reports, silentGateways } = await queryFleetStatus(context);
 */
export async function queryFleetStatus(context: CommandContext): Promise<FleetStatus> {
    const first = await context.callAnyGateway(client => client.status.get.query());
    const gateways = first.own.gateways;
    const answers: (typeof first | undefined)[] = [];
    const remaining = [...gateways.entries()];

    async function queryRemaining(): Promise<void> {
        for (let next = remaining.shift(); next !== undefined; next = remaining.shift()) {
            const [index, gateway] = next;
            answers[index] = await queryGateway(gateway).catch(() => undefined);
        }
    }

    function queryGateway(gateway: PeerRecord): Promise<typeof first> {
        const signal = AbortSignal.timeout(operatorConstants.callTimeoutMilliseconds);
        return context.clientOf(gateway).status.get.query(undefined, { signal });
    }

    await Promise.all(Array.from({ length: operatorConstants.concurrentCalls }, queryRemaining));
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
