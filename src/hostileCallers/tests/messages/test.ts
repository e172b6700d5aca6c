import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { createCallerStandIn } from "../../../platform/standIns/createCallerStandIn/index.js";
import { waitForValue } from "../../../site/waitForValue/index.js";
import { hostileCallerConstants } from "../../constants.js";
import { playCrowd } from "../../playCrowd/index.js";
import { startHostileSite } from "../../startHostileSite/index.js";
import type { HostileSite } from "../../types/HostileSite.js";

const { messageBytes, ordinaryTimeoutMilliseconds } = hostileCallerConstants;
const startup = "STARTUP shop u1\r\n";
const pieceBytes = 1_024;
const largeItemBytes = 900_000;
const smallItemBytes = 60_000;
const rowCount = 800;

/** A message of the greatest length. */
function createLargeMessage(id: string): string {
    const start = `QUERY ${id} READ `;
    return `${start}${"x".repeat(messageBytes - start.length)}\r\n`;
}

function sendInPieces(socket: Socket, text: string): void {
    let sent = 0;
    const sendNext = (): void => {
        if (sent < text.length && socket.writable) {
            socket.write(text.slice(sent, sent + pieceBytes), "latin1");
            sent += pieceBytes;
            setImmediate(sendNext);
        }
    };
    sendNext();
}

async function writeItem({ vm }: HostileSite, item: string, bytes: number): Promise<void> {
    const { host, port } = vm.callerAddress;
    const { caller } = await createCallerStandIn(port, "shop", host);
    const answer = await caller.run(`WRITE ${item} ${"y".repeat(bytes)}`);
    caller.close();
    assert.equal(answer.failure, undefined);
}

describe("clients that send more than a VM can hold", () => {
    it("hostile: a crowd sends messages of the greatest length in one piece", () =>
        playCrowd({
            begin: socket => {
                socket.write(startup);
                ["a", "b", "c"].forEach(id => socket.write(createLargeMessage(id), "latin1"));
            },
        }));

    it("hostile: a crowd sends messages of the greatest length in small pieces", () =>
        playCrowd({
            begin: socket => {
                socket.write(startup);
                sendInPieces(socket, createLargeMessage("a"));
            },
        }));

    it("hostile: a crowd sends messages far over the limit", () =>
        playCrowd({
            begin: socket => {
                socket.write(startup);
                socket.write(`QUERY a READ ${"x".repeat(4 * messageBytes)}`, "latin1");
            },
        }));

    it("hostile: a crowd sends many messages ahead and reads no answers", () =>
        playCrowd({
            isReading: false,
            prepare: site => writeItem(site, "small", smallItemBytes),
            begin: socket => {
                socket.write(startup);
                Array.from({ length: 500 }, (_, index) => socket.write(`QUERY q${index} READ small\r\n`));
            },
        }));

    it("hostile: a crowd asks for large rows and reads no answers", () =>
        playCrowd({
            isReading: false,
            prepare: site => writeItem(site, "large", largeItemBytes),
            begin: socket => {
                socket.write(startup);
                Array.from({ length: 50 }, (_, index) => socket.write(`QUERY q${index} READ large\r\n`));
            },
        }));

    it("hostile: a crowd asks for very many rows", () =>
        playCrowd({
            count: 4,
            prepare: async ({ platform }) => {
                const rows = Array.from({ length: rowCount }, () => "y".repeat(smallItemBytes));
                platform.endpoints.forEach(({ log }) =>
                    log.push({ position: { term: 1, entry: 1 }, ids: [], items: { rows: rows.join("\r\nROW ") } })
                );
            },
            begin: socket => socket.write(`${startup}QUERY a READ rows\r\n`),
        }));

    it("hostile: a single message of the greatest length is served in calm", async () => {
        const site = await startHostileSite();
        try {
            const { host, port } = site.vm.callerAddress;
            const rows = await waitForValue("the message is served", ordinaryTimeoutMilliseconds, async () => {
                const { caller } = await createCallerStandIn(port, "shop", host);
                caller.sendRaw(createLargeMessage("a"));
                const answer = await caller.nextAnswer();
                caller.close();
                return answer.signature === undefined ? undefined : answer.rows;
            });
            assert.deepEqual(rows, ["nothing"]);
        }
        finally {
            await site.stop();
        }
    });
});
