import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { once } from "node:events";
import { Agent, request as sendRequest } from "node:http";
import { connect, type Socket } from "node:net";
import type { Readable } from "node:stream";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import type { Clock } from "../../clock/types/Clock.js";
import type { CallerReply } from "../../execution/types/CallerReply.js";
import type { RequestExecutionService } from "../../execution/types/RequestExecutionService.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { createExecution } from "../../testing/createExecution/index.js";
import { callerConstants } from "../constants.js";
import { createCallerServer } from "./index.js";

const path = "/v1/databases/stock/statements";
const statement = { kind: "Read", statement: {}, isNewSession: true };

interface StubOptions {
    readonly clock?: Clock;
    readonly execute?: () => Promise<unknown>;
}

async function startServer(options: StubOptions = {}) {
    const { context: { configuration } } = createExecution(() => {
        throw new Error("no request should be sent");
    });
    const { version, content } = configuration.current();
    const keyDigest = createHash("sha256").update("key").digest("hex");
    const withCaller = {
        version,
        content: {
            ...content,
            databases: { ...content.databases, orders: content.databases["stock"]! },
            callers: { dealer: { keyDigest, databases: ["stock"] } },
            limits: { ...content.limits, requestBytes: 2_000 },
        },
    };
    const execution = {
        requestsInFlight: 0,
        execute: async ({ requestId }: { readonly requestId: string; }): Promise<CallerReply> => {
            execution.requestsInFlight += 1;
            const result = await options.execute?.() ?? 7;
            execution.requestsInFlight -= 1;
            return { outcome: OutcomeKind.Answer, requestId, result };
        },
    };
    const server = createCallerServer({
        host: "127.0.0.1",
        port: 0,
        execution: execution as unknown as RequestExecutionService,
        configuration: { ...configuration, current: () => withCaller },
        clock: options.clock ?? createSystemClock(),
        limits: { connections: 100, bodyBytes: 8_388_608, requestMilliseconds: 60_000 },
    });
    await server.start();
    return server;
}

async function start(context: TestContext) {
    const server = await startServer();
    context.after(server.stop);
    return async (target: string, body: unknown, options: { method?: string; key?: string; } = {}) => {
        const method = options.method ?? "POST";
        const response = await fetch(`http://127.0.0.1:${server.port()}${target}`, {
            method,
            headers: { "content-type": "application/json", authorization: `Bearer ${options.key ?? "key"}` },
            ...(method === "GET" ? {} : { body: typeof body === "string" ? body : JSON.stringify(body) }),
        });
        const reply = await response.json() as { outcome?: string; reason?: string; message?: string; };
        return { status: response.status, ...reply };
    };
}

const refusals: readonly [string, string, unknown, { method?: string; key?: string; }, number, string][] = [
    ["an unknown caller key", path, statement, { key: "other" }, 401, "Unauthorized"],
    ["a database of another caller", "/v1/databases/orders/statements", statement, {}, 403, "Forbidden"],
    ["an unknown database", "/v1/databases/none/statements", statement, {}, 404, "UnknownDatabase"],
    ["a wrong method", path, statement, { method: "GET" }, 405, "InvalidRequest"],
    ["an unknown path", "/v1/nothing", statement, {}, 404, "InvalidRequest"],
    ["a request over the limit", path, { ...statement, statement: "x".repeat(3_000) }, {}, 400, "InvalidRequest"],
    ["an unknown key", path, { ...statement, unknownKey: 1 }, {}, 400, "InvalidRequest"],
    ["a body that is not JSON", path, "{", {}, 400, "InvalidRequest"],
    ["a missing statement", path, { kind: "Read" }, {}, 400, "InvalidRequest"],
    ["a wrong deadline", path, { ...statement, deadlineMilliseconds: -1 }, {}, 400, "InvalidRequest"],
];

test("invalid requests are refused with a typed outcome and do not affect other requests", async context => {
    const post = await start(context);
    for (const [name, target, body, options, status, reason] of refusals) {
        const reply = await post(target, body, options);
        assert.deepEqual([reply.status, reply.outcome, reply.reason], [status, OutcomeKind.NotRun, reason], name);
        assert.match(reply.message ?? "", /\. \S.*\.$/, `${name} names no remedy`);
        const good = await post(path, statement);
        assert.deepEqual([good.status, good.outcome], [200, OutcomeKind.Answer]);
    }
});

const timeScale = 4;

/** A clock on which the waits of a stop pass four times as fast. */
function createFastClock(): Clock {
    const clock = createSystemClock();
    return {
        ...clock,
        now: () => clock.now() * timeScale,
        sleep: (milliseconds, signal) => clock.sleep(milliseconds / timeScale, signal),
        startTimer: (milliseconds, onElapsed) => clock.startTimer(milliseconds / timeScale, onElapsed),
    };
}

async function openConnection(port: number): Promise<Socket> {
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => {});
    await once(socket, "connect");
    return socket;
}

function formatRequest(body: string): string {
    return `POST ${path} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer key\r\n`
        + `content-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

async function readAll(socket: Readable): Promise<string> {
    let text = "";
    for await (const chunk of socket) {
        text += String(chunk);
    }
    return text;
}

async function waitForRefusedConnections(port: number): Promise<void> {
    for (let isOpen = true; isOpen; await sleep(1)) {
        const socket = connect(port, "127.0.0.1");
        isOpen = await once(socket, "connect").then(() => true, () => false);
        socket.destroy();
    }
}

for (const part of ["header", "body"]) {
    test(`a request whose ${part} is still arriving when the port closes is answered`, async () => {
        const server = await startServer({ clock: createFastClock() });
        const port = server.port();
        const socket = await openConnection(port);
        const answer = readAll(socket);
        const message = formatRequest(JSON.stringify(statement));
        const middle = part === "header" ? message.indexOf("content-type") : message.indexOf("{") + 3;
        socket.write(message.slice(0, middle));
        await sleep(10);
        const stopped = server.stop();
        await waitForRefusedConnections(port);
        await sleep(2 * callerConstants.stopLingerMilliseconds / timeScale);
        socket.write(message.slice(middle));
        assert.match(await answer, /^HTTP\/1.1 200[^]*"outcome":"Answer"/);
        await stopped;
    });
}

test("an answer that is still being sent when the server stops arrives whole", async () => {
    const result = "x".repeat(10_000_000);
    const server = await startServer({ clock: createFastClock(), execute: async () => result });
    const socket = await openConnection(server.port());
    socket.pause();
    socket.write(formatRequest(JSON.stringify(statement)));
    await sleep(100);
    const stopped = server.stop();
    await sleep(2 * callerConstants.stopNoticeMilliseconds / timeScale);
    const answer = await readAll(socket);
    assert.ok(answer.endsWith(`${result}"}`));
    await stopped;
});

test("connections that send nothing or half a request do not hold up a stop for ever", async () => {
    const server = await startServer({ clock: createFastClock() });
    const silent = await openConnection(server.port());
    const half = await openConnection(server.port());
    half.write(formatRequest(JSON.stringify(statement)).slice(0, -3));
    const ends = [once(silent.resume(), "close"), once(half.resume(), "close")];
    const isStopped = Promise.race([server.stop().then(() => true), sleep(3_000, false, { ref: false })]);
    assert.equal(await isStopped, true);
    await Promise.all(ends);
});

test("each request that was run for callers that never pause is answered in a stop", async () => {
    let runCount = 0;
    const server = await startServer({
        clock: createFastClock(),
        execute: async () => {
            runCount += 1;
            await sleep(5);
            return runCount;
        },
    });
    const port = server.port();
    const agent = new Agent({ keepAlive: true });
    let answerCount = 0;
    async function post(): Promise<void> {
        const body = JSON.stringify(statement);
        const headers = { "content-type": "application/json", "authorization": "Bearer key" };
        const outgoing = sendRequest({ host: "127.0.0.1", port, path, method: "POST", agent, headers });
        outgoing.end(body);
        const [response] = await once(outgoing, "response");
        const reply = JSON.parse(await readAll(response)) as { outcome?: string; };
        assert.equal(reply.outcome, OutcomeKind.Answer);
        answerCount += 1;
    }
    async function postWithoutPause(): Promise<void> {
        for (let hasFailed = false; !hasFailed;) {
            await post().catch((error: NodeJS.ErrnoException) => {
                hasFailed = true;
                assert.match(error.code ?? error.message, /^ECONN/);
            });
        }
    }
    const callers = Array.from({ length: 16 }, postWithoutPause);
    await sleep(100);
    await server.stop();
    await Promise.all(callers);
    assert.equal(answerCount, runCount);
});
