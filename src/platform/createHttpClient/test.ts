import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { createHttpClient } from "./index.js";

/** Sends a request to a server that answers with a status; returns the kind of the failure. */
async function callWithStatus(status: number, method: "GET" | "POST"): Promise<unknown> {
    const server = createServer((_request, response) => response.writeHead(status).end()).listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const client = createHttpClient({ host: "127.0.0.1", port, availabilityZone: "a" });
    try {
        await client.call({ method, path: "/promotion", timeoutMilliseconds: 1_000 });
        return undefined;
    }
    catch (error) {
        return toTypedError(error).kind;
    }
    finally {
        client.stop();
        server.closeAllConnections();
        server.close();
    }
}

describe("createHttpClient", () => {
    it("reports a write as not executed only when the service itself refused it", async () => {
        assert.equal(await callWithStatus(503, "POST"), ErrorKind.PlatformUnavailable);
        assert.equal(await callWithStatus(429, "POST"), ErrorKind.PlatformUnavailable);
        assert.equal(await callWithStatus(504, "POST"), ErrorKind.OutcomeUnknown);
        assert.equal(await callWithStatus(502, "POST"), ErrorKind.OutcomeUnknown);
        assert.equal(await callWithStatus(504, "GET"), ErrorKind.PlatformUnavailable);
    });
});
