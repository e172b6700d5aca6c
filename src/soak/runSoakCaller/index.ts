import type { Clock } from "../../clock/types/Clock.js";
import type { ReadGuarantee } from "../../directory/types/ReadGuarantee.js";
import { createCallerStandIn } from "../../platform/standIns/createCallerStandIn/index.js";
import type { StandInWorkspace } from "../../platform/standIns/types/StandInWorkspace.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import { soakConstants } from "../constants.js";
import { runCallerUnit } from "../runCallerUnit/index.js";
import { sendStatement } from "../sendStatement/index.js";
import type { CallerUnit } from "../types/CallerUnit.js";
import type { SoakSession } from "../types/SoakSession.js";
import type { UnansweredStatement } from "../types/UnansweredStatement.js";
import { UnitKind } from "../types/UnitKind.js";
import { waitForAnswer } from "../waitForAnswer/index.js";

/** Options of `runSoakCaller`. */
interface SoakCallerOptions {
    readonly name: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Ports of the links to the VMs, indexed by the number of the VM. */
    readonly ports: readonly number[];
    /** The databases and the guarantees of their reads. */
    readonly databases: readonly { readonly name: string; readonly guarantee: ReadGuarantee; }[];
    /** The caller's workspace; left out when callers need no key. */
    readonly workspace?: StandInWorkspace | undefined;
    readonly onUnit: (unit: CallerUnit) => void;
    readonly onUnanswered: (statement: UnansweredStatement) => void;
    readonly signal: AbortSignal;
}

/** Maximum number of units that a session runs before its caller reconnects. */
const maximumUnitsPerSession = 60;
/** One caller in this many clings to its VM: it dials again at once, and sends without a pause. */
const callersPerClinging = 3;
/** One session in this many sends each statement as soon as it has the answer to the one before. */
const sessionsPerRestless = 4;
/** One session of a clinging caller in this many pauses inside its transactions. */
const sessionsPerPausing = 3;
/** One session of a clinging caller in this many always has two statements on the way, and no transactions. */
const sessionsPerPipelining = 2;
/** One unit in four is a transaction. */
const mixedKinds = [UnitKind.Single, UnitKind.Single, UnitKind.Single, UnitKind.Transaction];
const singleKinds = [UnitKind.Single];

/**
 * Runs one caller: it opens sessions, and uses each until it fails or has run its number of units.
 *
 * Most callers pause and then choose a VM at random. A clinging caller dials the same VM again at once, also while that
 * VM stops, and chooses another one only after its dials were refused for a while.
 *
 * @param options Name of the caller, the VMs and databases it connects to, and the callbacks that receive what it saw.
 *
 * @example
 * await runSoakCaller({ name: "caller-1", clock, random, ports, databases, onUnit, onUnanswered, signal });
 */
export async function runSoakCaller(options: SoakCallerOptions): Promise<void> {
    const { clock, random, signal } = options;
    const isClinging = random.nextInteger(callersPerClinging) === 0;
    let vm = chooseVm();
    let refusedDialCount = 0;
    for (let sessionCount = 1; !signal.aborted; sessionCount += 1) {
        const session = await openSession(`${options.name}-${sessionCount}`);
        if (session !== undefined) {
            await useSession(session);
            session.caller.close();
        }
        await prepareRedial(session !== undefined);
    }

    function chooseVm(): number {
        return random.nextInteger(options.ports.length);
    }

    /** Pauses, and chooses the VM to dial next. */
    async function prepareRedial(wasOpened: boolean): Promise<void> {
        if (!isClinging) {
            vm = chooseVm();
            await clock.sleep(random.next() * soakConstants.maximumReconnectPauseMilliseconds, signal);
            return;
        }
        refusedDialCount = wasOpened ? 0 : refusedDialCount + 1;
        if (refusedDialCount === soakConstants.refusedDialsPerVm) {
            refusedDialCount = 0;
            vm = chooseVm();
        }
        await clock.sleep(wasOpened ? 0 : soakConstants.refusedDialPauseMilliseconds, signal);
    }

    /** Uses a session until it fails or has run its units; a pipelining caller has two statements on the way. */
    async function useSession(session: SoakSession): Promise<void> {
        const isPipelining = isClinging && random.nextInteger(sessionsPerPipelining) === 0;
        const kinds = isPipelining ? singleKinds : mixedKinds;
        const lanes = isPipelining ? [kinds, kinds] : [kinds];
        await Promise.all(lanes.map(laneKinds => runUnits(session, laneKinds)));
    }

    async function runUnits(session: SoakSession, kinds: readonly UnitKind[]): Promise<void> {
        const isRestless = isClinging || random.nextInteger(sessionsPerRestless) === 0;
        const maximumPause = isRestless ? 0 : soakConstants.maximumThinkTimeMilliseconds;
        for (
            let remainingUnits = 1 + random.nextInteger(maximumUnitsPerSession);
            remainingUnits > 0 && !signal.aborted;
            remainingUnits -= 1
        ) {
            const kind = kinds[random.nextInteger(kinds.length)]!;
            const { unit, isUsable } = await runCallerUnit(session, kind, clock, random);
            options.onUnit(unit);
            if (!isUsable) {
                return;
            }
            await clock.sleep(random.next() * maximumPause, signal);
        }
    }

    async function openSession(name: string): Promise<SoakSession | undefined> {
        const database = options.databases[random.nextInteger(options.databases.length)]!;
        const opening = createCallerStandIn(options.ports[vm]!, database.name, undefined, options.workspace?.key);
        const opened = await waitForAnswer(opening, clock);
        if (opened?.opening.state === undefined) {
            void opening.then(({ caller }) => caller.close());
            return undefined;
        }
        const isPausing = isClinging && random.nextInteger(sessionsPerPausing) === 0;
        const session = {
            name,
            vm,
            ...options.workspace && { workspace: options.workspace.name },
            guarantee: database.guarantee,
            caller: opened.caller,
            prepared: { read: "fetch", write: "store" },
            maximumTransactionPauseMilliseconds: isPausing ? soakConstants.maximumTransactionPauseMilliseconds : 0,
            onUnanswered: options.onUnanswered,
        };
        return await prepare(session) ? session : undefined;
    }

    /** Sets the session's variable and prepares its statements; their names are the same in all sessions. */
    async function prepare(session: SoakSession): Promise<boolean> {
        const { caller, name, prepared } = session;
        const texts = [
            `SET session ${name}`,
            `PARSE ${prepared.read} READ ${name}`,
            `PARSE ${prepared.write} WRITE ${name}`,
        ];
        for (const text of texts) {
            if (!await succeeds(session, text)) {
                caller.close();
                return false;
            }
        }
        return true;
    }

    async function succeeds(session: SoakSession, text: string): Promise<boolean> {
        const { answer } = await sendStatement(session, text, clock);
        return answer?.state !== undefined && answer.failure === undefined;
    }
}
