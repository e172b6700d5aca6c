import type { Clock } from "../../clock/types/Clock.js";
import type { ReadGuarantee } from "../../directory/types/ReadGuarantee.js";
import { createCallerStandIn } from "../../platform/standIns/createCallerStandIn/index.js";
import type { CallerStandIn } from "../../platform/standIns/types/CallerStandIn.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import { soakConstants } from "../constants.js";
import { runCallerUnit } from "../runCallerUnit/index.js";
import type { CallerUnit } from "../types/CallerUnit.js";
import type { SoakSession } from "../types/SoakSession.js";
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
    readonly onUnit: (unit: CallerUnit) => void;
    readonly signal: AbortSignal;
}

/** Maximum number of units that a session runs before its caller reconnects. */
const maximumUnitsPerSession = 60;
/** One session in this many sends each statement as soon as it has the answer to the one before. */
const sessionsPerRestless = 4;

/**
 * Runs one caller: it opens sessions at random VMs, and uses each until it fails or has run its number of units.
 *
 * @param options Name of the caller, the VMs and databases it connects to, and the callback that receives its units.
 *
 * @example
 * await runSoakCaller({ name: "caller-1", clock, random, ports, databases, onUnit, signal });
 */
export async function runSoakCaller(options: SoakCallerOptions): Promise<void> {
    const { clock, random, signal } = options;
    let sessionCount = 0;
    while (!signal.aborted) {
        sessionCount += 1;
        const session = await openSession(`${options.name}-${sessionCount}`);
        if (session !== undefined) {
            await useSession(session);
            session.caller.close();
        }
        await clock.sleep(random.next() * soakConstants.maximumReconnectPauseMilliseconds, signal);
    }

    async function useSession(session: SoakSession): Promise<void> {
        const isRestless = random.nextInteger(sessionsPerRestless) === 0;
        const maximumPause = isRestless ? 0 : soakConstants.maximumThinkTimeMilliseconds;
        for (
            let remainingUnits = 1 + random.nextInteger(maximumUnitsPerSession);
            remainingUnits > 0 && !signal.aborted;
            remainingUnits -= 1
        ) {
            const { unit, isUsable } = await runCallerUnit(session, clock, random);
            options.onUnit(unit);
            if (!isUsable) {
                return;
            }
            await clock.sleep(random.next() * maximumPause, signal);
        }
    }

    async function openSession(name: string): Promise<SoakSession | undefined> {
        const vm = random.nextInteger(options.ports.length);
        const database = options.databases[random.nextInteger(options.databases.length)]!;
        const opening = createCallerStandIn(options.ports[vm]!, database.name);
        const opened = await waitForAnswer(opening, clock);
        if (opened?.opening.state === undefined) {
            void opening.then(({ caller }) => caller.close());
            return undefined;
        }
        const session = {
            name,
            vm,
            guarantee: database.guarantee,
            caller: opened.caller,
            prepared: { read: "fetch", write: "store" },
        };
        return await prepare(session) ? session : undefined;
    }

    /** Sets the session's variable and prepares its statements; their names are the same in all sessions. */
    async function prepare({ caller, name, prepared }: SoakSession): Promise<boolean> {
        const texts = [
            `SET session ${name}`,
            `PARSE ${prepared.read} READ ${name}`,
            `PARSE ${prepared.write} WRITE ${name}`,
        ];
        for (const text of texts) {
            if (!await succeeds(caller, text)) {
                caller.close();
                return false;
            }
        }
        return true;
    }

    async function succeeds(caller: CallerStandIn, text: string): Promise<boolean> {
        const answer = await waitForAnswer(caller.run(text), clock);
        return answer?.state !== undefined && answer.failure === undefined;
    }
}
