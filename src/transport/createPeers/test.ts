import assert from "node:assert/strict";
import { test } from "node:test";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import { createError } from "../../errors/createError/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { createEventRecorder } from "../../events/createEventRecorder/index.js";
import { createLogger } from "../../logging/createLogger/index.js";
import { createUnemulatedNetwork } from "../../network/createUnemulatedNetwork/index.js";
import { createTransportServer } from "../createTransportServer/index.js";
import { trpc } from "../trpc/index.js";
import { createPeers } from "./index.js";

const clock = createSystemClock();
const router = trpc.router({
    echo: trpc.router({
        say: trpc.procedure.input((input: unknown) => input as string).query(({ input, ctx }) =>
            `${ctx.peerName}: ${input}`
        ),
        fail: trpc.procedure.mutation(() => {
            throw createError(ErrorKind.Conflict, "Version 4 exists.", {
                remedy: "Read it again.",
                details: { version: 4 },
            });
        }),
        count: trpc.procedure.subscription(async function*() {
            yield 1;
            yield 2;
        }),
    }),
});

async function withServer(run: (port: number) => Promise<void>): Promise<void> {
    const server = createTransportServer({
        host: "127.0.0.1",
        port: 0,
        peerSecret: "secret",
        router,
        events: createEventRecorder("server", clock),
        logger: createLogger("server", clock),
    });
    await server.start();
    try {
        await run(server.port());
    }
    finally {
        await server.stop();
    }
}

function createTestPeers(peerSecret: string) {
    return createPeers(
        { name: "client", availabilityZone: "a", peerSecret },
        createUnemulatedNetwork("a"),
        createEventRecorder("client", clock),
    );
}

test("a call, a typed failure and a subscription pass between two processes", () =>
    withServer(async port => {
        const peers = createTestPeers("secret");
        const client = peers.clientOf<typeof router>({ host: "127.0.0.1", port, availabilityZone: "a" });
        assert.equal(await client.echo.say.query("hello"), "client: hello");
        const failure = await client.echo.fail.mutate().then(() => undefined, toTypedError);
        assert.equal(failure?.kind, ErrorKind.Conflict);
        assert.equal(failure?.message, "Version 4 exists. Read it again.");
        assert.equal(failure?.details.version, 4);
        const items: number[] = [];
        await new Promise<void>((resolve, reject) => {
            client.echo.count.subscribe(undefined, {
                onData: item => items.push(item),
                onError: reject,
                onComplete: resolve,
            });
        });
        assert.deepEqual(items, [1, 2]);
        await peers.stop();
    }));

test("a peer with another secret is rejected with a typed error, and the server continues to serve others", () =>
    withServer(async port => {
        const address = { host: "127.0.0.1", port, availabilityZone: "a" };
        const impostor = createTestPeers("other");
        const failure = await impostor.clientOf<typeof router>(address).echo.say.query("x").then(
            () => undefined,
            toTypedError,
        );
        assert.equal(failure?.kind, ErrorKind.PeerRejected);
        const authorized = createTestPeers("secret");
        assert.equal(await authorized.clientOf<typeof router>(address).echo.say.query("x"), "client: x");
        await Promise.all([impostor.stop(), authorized.stop()]);
    }));
