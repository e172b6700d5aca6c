import type { Clock } from "../../clock/types/Clock.js";
import type { ReadGuarantee } from "../../directory/types/ReadGuarantee.js";
import { createCallerStandIn } from "../../platform/standIns/createCallerStandIn/index.js";
import type { CallerStandIn } from "../../platform/standIns/types/CallerStandIn.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import { soakConstants } from "../constants.js";
import { runCallerUnit } from "../runCallerUnit/index.js";
import type { CallerUnit } from "../types/CallerUnit.js";
import type { SoakSession } from "../types/SoakSession.js";
import { waitPatiently } from "../waitPatiently/index.js";

/** Options of `runSoakCaller`. */
interface SoakCallerOptions {
    readonly name: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Ports of the links to the VMs; the place in the list is the number of the VM. */
    readonly ports: readonly number[];
    /** The databases, and what reading there promises. */
    readonly databases: readonly { readonly name: string; readonly guarantee: ReadGuarantee; }[];
    readonly onUnit: (unit: CallerUnit) => void;
    readonly signal: AbortSignal;
}

/** Units that a session runs at most before its caller connects anew. */
const longestSession = 60;

/**
 * Runs one caller: it opens sessions at any VM, and keeps each open until it breaks or has run enough.
 *
 * @param options Its name, what it connects to, and who is told what it saw.
 *
 * @example
 * await runSoakCaller({ name: "caller-1", clock, random, ports, databases, onUnit, signal });
 */
export async function runSoakCaller(options: SoakCallerOptions): Promise<void> {
    const { clock, random, signal } = options;
    let sessions = 0;
    while (!signal.aborted) {
        sessions += 1;
        const session = await openSession(`${options.name}-${sessions}`);
        if (session !== undefined) {
            await useSession(session);
            session.caller.close();
        }
        await clock.sleep(random.next() * soakConstants.reconnectMilliseconds, signal);
    }

    async function useSession(session: SoakSession): Promise<void> {
        for (let left = 1 + random.nextInteger(longestSession); left > 0 && !signal.aborted; left -= 1) {
            const { unit, isUsable } = await runCallerUnit(session, clock, random);
            options.onUnit(unit);
            if (!isUsable) {
                return;
            }
            await clock.sleep(random.next() * soakConstants.thinkMilliseconds, signal);
        }
    }

    async function openSession(name: string): Promise<SoakSession | undefined> {
        const vm = random.nextInteger(options.ports.length);
        const database = options.databases[random.nextInteger(options.databases.length)]!;
        const opening = createCallerStandIn(options.ports[vm]!, database.name);
        const opened = await waitPatiently(opening, clock);
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

    /** Sets the session's value and prepares its statements; names are the same in all sessions. */
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
        const answer = await waitPatiently(caller.run(text), clock);
        return answer?.state !== undefined && answer.failure === undefined;
    }
}
