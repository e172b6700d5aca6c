import { attemptStatement } from "../../callerSessions/attemptStatement/index.js";
import { createSessionContext } from "../../callerSessions/createSessionContext/index.js";
import type { CallerStatement } from "../../callerSessions/types/CallerStatement.js";
import type { SessionServices } from "../../callerSessions/types/SessionServices.js";
import type { SessionHosts } from "../../forwarding/types/SessionHosts.js";
import { ServiceName } from "../../kernel/types/ServiceName.js";
import type { Placement } from "../../placement/types/Placement.js";
import { AccessMode } from "../../statements/types/AccessMode.js";
import { StatementKind } from "../../statements/types/StatementKind.js";
import { createRoute } from "../createRoute/index.js";
import { HistoryEventKind } from "../types/HistoryEventKind.js";
import type { SimulatedEnvironment } from "../types/SimulatedEnvironment.js";
import type { SimulatedVm } from "../types/SimulatedVm.js";

const pauseMilliseconds = 20;
const statementMilliseconds = 600;
const maximumPendingWrites = 4;

/**
 * Writes to one group through a VM of a simulation again and again, by the rule by which the product acknowledges
 * writes, and records the acknowledgements.
 *
 * @param vm The VM; the writes end when it is killed.
 * @param group The group.
 * @param environment The clock and the history.
 *
 * @example
 * void runSimulatedWriter(vm, "orders", environment);
 */
export async function runSimulatedWriter(
    vm: SimulatedVm,
    group: string,
    environment: SimulatedEnvironment,
): Promise<void> {
    const { kernel, clock } = vm;
    const placement = kernel.get<Placement>(ServiceName.Placement);
    const hosts = kernel.get<SessionHosts>(ServiceName.SessionHosts);
    const services = {
        clock,
        placement,
        primaries: vm.primaries,
        evidence: kernel.get(ServiceName.PositionEvidence),
        verification: kernel.get(ServiceName.PrimaryVerification),
    } as unknown as SessionServices;
    let pendingWrites = 0;
    let writeCount = 0;

    function createStatement(): CallerStatement {
        writeCount += 1;
        const route = createRoute({ group });
        return {
            id: `${vm.name}/${clock.now()}/${group}/${writeCount}`,
            statement: { kind: StatementKind.Write, text: "WRITE item data" },
            mode: AccessMode.Write,
            route,
            session: createSessionContext(route.database),
            receivedAt: clock.now(),
            expiresAt: clock.now() + statementMilliseconds,
        };
    }

    async function write(statement: CallerStatement): Promise<void> {
        const connection = await placement.acquire({
            group,
            needsPrimary: true,
            priority: 1,
            expiresAt: statement.expiresAt,
            excluded: new Set(),
            values: new Map(),
        });
        const eligible = { connection, leastPosition: undefined };
        const { outcome } = await attemptStatement(statement, eligible, statementMilliseconds, services);
        connection.release();
        if (outcome.failure === undefined && vm.isRunning) {
            environment.history.push({
                kind: HistoryEventKind.Acknowledgement,
                at: clock.now(),
                group,
                writeId: statement.id,
            });
        }
    }

    async function writeOnce(): Promise<void> {
        pendingWrites += 1;
        try {
            await write(createStatement());
        }
        catch {
            // No primary was available in time; the next write attempts it again.
        }
        finally {
            pendingWrites -= 1;
        }
    }

    while (vm.isRunning) {
        await clock.sleep(pauseMilliseconds);
        const isServing = environment.hasCallers(vm.name) && hosts.hostOf(group) === undefined;
        if (isServing && pendingWrites < maximumPendingWrites) {
            void writeOnce();
        }
    }
}
