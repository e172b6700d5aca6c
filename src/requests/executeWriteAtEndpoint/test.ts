import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import { NotRunReason } from "../../messages/types/NotRunReason.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { RequestKind } from "../../messages/types/RequestKind.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { StatementOperation } from "../../standIns/endpoint/types/StatementOperation.js";
import { startDataPlane } from "../../testing/startDataPlane/index.js";

const names = ["stock-1", "stock-2", "stock-3"];
const writers = 4;
const rounds = 15;

/** One write and the outcome that was finally reported to its caller. */
interface ReportedWrite {
    readonly value: string;
    readonly outcome: OutcomeKind;
}

async function start(context: TestContext, seed: number) {
    const plane = await startDataPlane({ endpoints: { serviceMilliseconds: 1 } });
    context.after(plane.stop);
    const { group, topology, requests, promote, clock } = plane;
    const random = createRandomSource(seed);
    let isFinished = false;

    function send(value: string, requestKey: string | undefined): Promise<EndpointReply> {
        const { term, primary } = topology.groupOf("stock")!;
        return requests.execute({
            requestId: value,
            database: "stock",
            endpoint: primary,
            kind: RequestKind.Write,
            statement: { operation: StatementOperation.Append, list: "fitments", value },
            term,
            leastPosition: 0,
            waitMilliseconds: 0,
            requestKey,
            caller: "clover",
            timeLeftMilliseconds: 200,
        });
    }

    /** Retries a keyed write as an entry does, until it is answered or cancelled. */
    async function writeWithKey(value: string): Promise<ReportedWrite> {
        for (;;) {
            const reply = await send(value, value);
            const isCancelled = reply.outcome === OutcomeKind.NotRun && reply.reason === NotRunReason.Cancelled;
            if (reply.outcome === OutcomeKind.Answer || isCancelled) {
                return { value, outcome: reply.outcome };
            }
            await clock.sleep(5);
        }
    }

    async function writeOnce(value: string): Promise<ReportedWrite> {
        return { value, outcome: (await send(value, undefined)).outcome };
    }

    async function write(writer: number, reported: ReportedWrite[]): Promise<void> {
        for (let count = 0; !isFinished; count += 1) {
            const value = `${writer}-${count}`;
            reported.push(await (count % 2 === 0 ? writeWithKey(value) : writeOnce(value)));
        }
    }

    /** Promotes the endpoint with the highest log position in a majority, as failover does. */
    async function failOver(previousPrimary: string): Promise<void> {
        const term = topology.groupOf("stock")!.term + 1;
        const alive = names.filter(name => name !== previousPrimary);
        const answers = await Promise.all(alive.map(name => group.connections[name]!.fence(term, 1_000)));
        const [best] = answers.sort((left, right) =>
            right.lastEntryTerm - left.lastEntryTerm || right.position - left.position
        );
        const markerPosition = await promote(term, best!.endpoint, alive);
        topology.applyGroupRecord({ database: "stock", term, primary: best!.endpoint, markerPosition });
        await group.connections[previousPrimary]!.follow(term, best!.endpoint, 1_000);
    }

    /** Slows the primary, or changes it with or without isolating it first. */
    async function disturb(): Promise<void> {
        const { primary } = topology.groupOf("stock")!;
        const { switches } = group.endpoints[primary]!.core;
        const kind = random.nextInteger(4);
        if (kind === 0) {
            // Longer than a request's deadline: answers are lost, but the writes take effect later.
            switches.set({ serviceMilliseconds: 250 });
            await clock.sleep(300);
        }
        if (kind === 1) {
            switches.set({ isCutFromPeers: true });
        }
        await clock.sleep(random.nextInteger(60));
        if (kind !== 0) {
            await failOver(primary);
        }
        await clock.sleep(random.nextInteger(60));
        switches.set({ serviceMilliseconds: 1, isCutFromPeers: false });
        await clock.sleep(random.nextInteger(60));
    }

    async function run(): Promise<ReportedWrite[]> {
        const reported: ReportedWrite[] = [];
        const writing = Array.from({ length: writers }, (_, writer) => write(writer, reported));
        for (let round = 0; round < rounds; round += 1) {
            await disturb();
        }
        isFinished = true;
        await Promise.all(writing);
        return reported;
    }

    const readList = () => {
        const { primary } = topology.groupOf("stock")!;
        return group.endpoints[primary]!.core.log.readList("fitments") as readonly string[];
    };
    return { run, readList };
}

for (const seed of [1, 2, 3]) {
    test(`every write persists as reported to its caller across changes of primary (seed ${seed})`, async context => {
        const { run, readList } = await start(context, seed);
        const reported = await run();
        const counts = new Map<string, number>();
        readList().forEach(value => counts.set(value, (counts.get(value) ?? 0) + 1));
        for (const { value, outcome } of reported) {
            const count = counts.get(value) ?? 0;
            const allowed = {
                [OutcomeKind.Answer]: [1],
                [OutcomeKind.NotRun]: [0],
                [OutcomeKind.OutcomeUnknown]: [0, 1],
            };
            assert.ok(
                allowed[outcome].includes(count),
                `${value} was reported as ${outcome} and is stored ${count} times`,
            );
        }
        assert.ok(reported.filter(({ outcome }) => outcome === OutcomeKind.Answer).length > rounds);
    });
}
