import { encode } from "@msgpack/msgpack";
import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import { createEventRecorder } from "../../events/createEventRecorder/index.js";
import { createLogger } from "../../logging/createLogger/index.js";
import { createUnemulatedNetwork } from "../../network/createUnemulatedNetwork/index.js";
import { openFrameSocket } from "../../network/openFrameSocket/index.js";
import { createPeers } from "../createPeers/index.js";
import { createTransportServer } from "../createTransportServer/index.js";
import { performHandshake } from "../performHandshake/index.js";
import { trpc } from "../trpc/index.js";
import { FrameKind } from "../types/FrameKind.js";

const seed = 20_261_204;
const identity = { name: "client", availabilityZone: "a", peerSecret: "secret" };
const network = createUnemulatedNetwork("a");
const router = trpc.router({ say: trpc.procedure.input((input: unknown) => input).query(({ input }) => input ?? "") });

describe("servePeer", () => {
    const clock = createSystemClock();
    const events = createEventRecorder("server", clock);
    const server = createTransportServer({
        host: "127.0.0.1",
        port: 0,
        peerSecret: identity.peerSecret,
        router,
        events,
        logger: createLogger("server", clock),
    });
    const addressOf = () => ({ host: "127.0.0.1", port: server.port(), availabilityZone: "a" });
    before(() => server.start());
    after(() => server.stop());

    async function sendFrames(frames: readonly Uint8Array[]): Promise<void> {
        const address = addressOf();
        const socket = await openFrameSocket(address, { conditions: network, timeoutMilliseconds: 1_000 });
        await performHandshake(socket, identity, address);
        frames.forEach(frame => socket.send(frame));
        await new Promise(resolve => setTimeout(resolve, 5));
        socket.close();
        await socket.closed;
    }

    async function assertServing(): Promise<void> {
        const peers = createPeers(identity, network, createEventRecorder("client", clock));
        assert.equal(await peers.clientOf<typeof router>(addressOf()).say.query("still here"), "still here");
        await peers.stop();
        const { wallMilliseconds, counter } = events.stamp();
        assert.ok(Number.isInteger(wallMilliseconds) && Number.isInteger(counter));
    }

    it("survives frames of known kinds with any content", async () => {
        const kinds = Object.values(FrameKind).filter(kind => typeof kind === "number");
        const values = fastCheck.oneof(
            fastCheck.jsonValue(),
            fastCheck.constantFrom("query", "mutation", "subscription", "say"),
            fastCheck.record({ wallMilliseconds: fastCheck.integer(), counter: fastCheck.anything() }),
        );
        const frame = fastCheck.tuple(fastCheck.constantFrom(...kinds), fastCheck.array(values, { maxLength: 6 }))
            .map(([kind, fields]) => [kind, ...fields]);
        const property = fastCheck.asyncProperty(
            fastCheck.array(frame, { minLength: 1, maxLength: 20 }),
            async frames => {
                await sendFrames(frames.flatMap(fields => {
                    try {
                        return [encode(fields)];
                    }
                    catch {
                        return [];
                    }
                }));
            },
        );
        await fastCheck.assert(property, { seed, numRuns: 40 });
        await assertServing();
    });

    it("ignores a time stamp whose counter is malformed", async () => {
        const ahead = { wallMilliseconds: Date.now() + 2_000, counter: "many" };
        await sendFrames([encode([FrameKind.Call, 1, "query", "say", "", ahead])]);
        await assertServing();
    });

    it("survives bytes that are no frames", async () => {
        const property = fastCheck.asyncProperty(
            fastCheck.array(fastCheck.uint8Array({ maxLength: 64 }), { maxLength: 10 }),
            sendFrames,
        );
        await fastCheck.assert(property, { seed, numRuns: 20 });
        await assertServing();
    });
});
