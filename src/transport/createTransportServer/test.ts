import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { createEventRecorder } from "../../events/createEventRecorder/index.js";
import { createLogger } from "../../logging/createLogger/index.js";
import { createUnemulatedNetwork } from "../../network/createUnemulatedNetwork/index.js";
import { transportConstants } from "../constants.js";
import { createPeers } from "../createPeers/index.js";
import { trpc } from "../trpc/index.js";
import { createTransportServer } from "./index.js";

const peerSecret = "secret";
const serviceMilliseconds = 5;
const delayMilliseconds = 20;

/** The server under test with one client of it; the call `run` notes each number that it runs. */
async function start(context: TestContext, linkDelayMilliseconds = 0) {
    const clock = createSystemClock();
    const runNumbers = new Set<number>();
    const router = trpc.router({
        run: trpc.procedure.input((input: unknown) => input as number).mutation(async ({ input }) => {
            runNumbers.add(input);
            await sleep(serviceMilliseconds);
            return input;
        }),
        hang: trpc.procedure.mutation(() => {
            runNumbers.add(-1);
            return new Promise<never>(() => {});
        }),
        watch: trpc.procedure.subscription(async function*({ signal }) {
            yield 1;
            await once(signal!, "abort");
        }),
    });
    const server = createTransportServer({
        host: "127.0.0.1",
        port: 0,
        peerSecret,
        router,
        events: createEventRecorder("server", clock),
        logger: createLogger("server", clock),
    });
    await server.start();
    const network = {
        ...createUnemulatedNetwork("a"),
        linkBetween: () => ({ delayMilliseconds: linkDelayMilliseconds, isCut: false }),
    };
    const peers = createPeers(
        { name: "client", availabilityZone: "a", peerSecret },
        network,
        createEventRecorder("client", clock),
    );
    context.after(peers.stop);
    const client = peers.clientOf<typeof router>({ host: "127.0.0.1", port: server.port(), availabilityZone: "a" });
    return { server, client, runNumbers };
}

async function waitForRuns(runNumbers: ReadonlySet<number>, count: number): Promise<void> {
    while (runNumbers.size < count) {
        await sleep(1);
    }
}

test("a call that is run when the server stops is answered", async context => {
    const { server, client, runNumbers } = await start(context);
    const answer = client.run.mutate(1);
    await waitForRuns(runNumbers, 1);
    await server.stop();
    assert.equal(await answer, 1);
});

test("an answer that is still on its way when the server closes the connection is not lost", async context => {
    const { server, client, runNumbers } = await start(context, delayMilliseconds);
    const answer = client.run.mutate(1);
    await waitForRuns(runNumbers, 1);
    await sleep(2 * serviceMilliseconds);
    await server.stop();
    assert.equal(await answer, 1);
});

for (const linkDelayMilliseconds of [0, delayMilliseconds]) {
    test(`each call of callers that never pause is answered or known as not run, delay ${linkDelayMilliseconds} ms`, async context => {
        const { server, client, runNumbers } = await start(context, linkDelayMilliseconds);
        const answered = new Set<number>();
        const failures = new Map<number, ErrorKind>();
        let lastNumber = 0;
        async function callWithoutPause(): Promise<void> {
            for (let hasFailed = false; !hasFailed;) {
                lastNumber += 1;
                const number = lastNumber;
                try {
                    answered.add(await client.run.mutate(number));
                }
                catch (error) {
                    failures.set(number, toTypedError(error).kind);
                    hasFailed = true;
                }
            }
        }
        const callers = Array.from({ length: 40 }, callWithoutPause);
        await waitForRuns(runNumbers, 400);
        await server.stop();
        await Promise.all(callers);
        assert.deepEqual([...runNumbers].filter(number => !answered.has(number)), []);
        assert.deepEqual([...new Set(failures.values())], [ErrorKind.Unreachable]);
    });
}

test("a subscription and a connection that sends nothing do not hold up a stop", async context => {
    const { server, client } = await start(context);
    const silent = connect(server.port(), "127.0.0.1");
    await once(silent, "connect");
    await new Promise<void>(resolve =>
        client.watch.subscribe(undefined, { onData: () => resolve(), onError: () => {} })
    );
    const closed = once(silent, "close");
    silent.resume();
    silent.on("error", () => {});
    const startedAt = performance.now();
    await Promise.race([
        server.stop(),
        sleep(2 * transportConstants.stopTimeoutMilliseconds, undefined, { ref: false }),
    ]);
    assert.ok(performance.now() - startedAt < transportConstants.stopTimeoutMilliseconds);
    await closed;
});

test("a call that does not end is cut off at the time limit of a stop, with an unknown outcome", async context => {
    const { server, client, runNumbers } = await start(context);
    const failure = client.hang.mutate().then(() => undefined, toTypedError);
    await waitForRuns(runNumbers, 1);
    await server.stop();
    assert.equal((await failure)?.kind, ErrorKind.ConnectionClosed);
});
