import { attemptStatement } from "../../callerSessions/attemptStatement/index.js";
import { createGracefulStop } from "../../callerSessions/createGracefulStop/index.js";
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

type CallerEventKind =
    | HistoryEventKind.Acknowledgement
    | HistoryEventKind.ReadRequest
    | HistoryEventKind.ReadAnswer;

/** Pause between two statements of a caller, in milliseconds. */
const pauseMilliseconds = { [AccessMode.Write]: 20, [AccessMode.Read]: 60 };
const statementMilliseconds = 600;
const maximumPending = 4;

/**
 * Writes to one group, or reads from its primary, through a VM of a simulation again and again, by the rules by which the
 * product acknowledges writes and returns reads, and records what the caller sees.
 *
 * @param vm The VM; the statements end when it is killed.
 * @param group The group.
 * @param mode Whether the caller writes or reads.
 * @param environment The clock and the history.
 *
 * @example
 * void runSimulatedCaller(vm, "orders", AccessMode.Write, environment);
 */
export async function runSimulatedCaller(
    vm: SimulatedVm,
    group: string,
    mode: AccessMode,
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
        stop: createGracefulStop(clock, statementMilliseconds),
    } as unknown as SessionServices;
    const isWriter = mode === AccessMode.Write;
    let pendingCount = 0;
    let statementCount = 0;

    function createStatement(): CallerStatement {
        statementCount += 1;
        const route = createRoute({ group });
        return {
            id: `${vm.name}/${clock.now()}/${group}/${mode}/${statementCount}`,
            statement: isWriter
                ? { kind: StatementKind.Write, text: "WRITE item data" }
                : { kind: StatementKind.Read, text: "READ item" },
            mode,
            route,
            session: createSessionContext(route.database),
            receivedAt: clock.now(),
            expiresAt: clock.now() + statementMilliseconds,
        };
    }

    function record(kind: CallerEventKind, id: string): void {
        const event = { at: clock.now(), group };
        environment.history.push(
            kind === HistoryEventKind.Acknowledgement
                ? { kind, ...event, writeId: id }
                : { kind, ...event, readId: id },
        );
    }

    async function run(statement: CallerStatement): Promise<void> {
        if (!isWriter) {
            record(HistoryEventKind.ReadRequest, statement.id);
        }
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
            record(isWriter ? HistoryEventKind.Acknowledgement : HistoryEventKind.ReadAnswer, statement.id);
        }
    }

    async function runOnce(): Promise<void> {
        pendingCount += 1;
        try {
            await run(createStatement());
        }
        catch {
            // No primary was available in time; the next statement attempts it again.
        }
        finally {
            pendingCount -= 1;
        }
    }

    while (vm.isRunning) {
        await clock.sleep(pauseMilliseconds[mode]);
        const isServing = environment.hasCallers(vm.name) && hosts.hostOf(group) === undefined;
        if (isServing && pendingCount < maximumPending) {
            void runOnce();
        }
    }
}
