import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { test, type TestContext } from "node:test";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import type { CallerReply } from "../../execution/types/CallerReply.js";
import type { RequestExecutionService } from "../../execution/types/RequestExecutionService.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { createExecution } from "../../testing/createExecution/index.js";
import { createCallerServer } from "./index.js";

const path = "/v1/databases/stock/statements";
const statement = { kind: "Read", statement: {}, isNewSession: true };

async function start(context: TestContext) {
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
        execute: async (request: { readonly requestId: string; }): Promise<CallerReply> => ({
            outcome: OutcomeKind.Answer,
            requestId: request.requestId,
            result: 7,
        }),
    } as unknown as RequestExecutionService;
    const server = createCallerServer({
        host: "127.0.0.1",
        port: 0,
        execution,
        configuration: { ...configuration, current: () => withCaller },
        clock: createSystemClock(),
    });
    await server.start();
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
