import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FailureCode } from "../../statements/types/FailureCode.js";
import type { Workspace } from "../../workspaces/types/Workspace.js";
import { createFailure } from "../createFailure/index.js";
import { createOperationCharge } from "./index.js";

const workspace: Workspace = { name: "museums", keyDigests: [], priority: 0 };

function createSite(isAdmitted = true) {
    const events: string[] = [];
    const charge = createOperationCharge({
        take: ({ name }) => {
            events.push(`take ${name}`);
            return isAdmitted
                ? { isAdmitted, refund: () => events.push("refund") }
                : { isAdmitted, retryAfterMilliseconds: 120.4 };
        },
    });
    return { charge, events };
}

describe("createOperationCharge", () => {
    it("charges an operation once, whatever its later statements return", async () => {
        const { charge, events } = createSite();
        assert.equal(await charge.begin(workspace), undefined);
        charge.settle({ rows: [] });
        charge.settle(createFailure(FailureCode.Busy, "no slot"));
        charge.end();
        assert.deepEqual(events, ["take museums"]);
    });

    it("refunds an operation that did not run, and one that ends without a statement", async () => {
        for (const finish of ["settle", "end"] as const) {
            const { charge, events } = createSite();
            await charge.begin(workspace);
            charge[finish](createFailure(FailureCode.Busy, "no slot"));
            charge.end();
            assert.deepEqual(events, ["take museums", "refund"]);
        }
    });

    it("keeps the charge of an operation whose outcome is unknown or that was rolled back", async () => {
        for (const code of [FailureCode.OutcomeUnknown, FailureCode.Timeout, FailureCode.Aborted]) {
            const { charge, events } = createSite();
            await charge.begin(workspace);
            charge.settle(createFailure(code, "lost"));
            charge.end();
            assert.deepEqual(events, ["take museums"]);
        }
    });

    it("refuses beyond the quota, and says when to retry", async () => {
        const { failure } = (await createSite(false).charge.begin(workspace))!;
        assert.equal(failure!.code, FailureCode.Busy);
        assert.match(failure!.description, /retry after 121 ms/);
    });

    it("charges nothing without a workspace", async () => {
        const { charge, events } = createSite();
        await charge.begin(undefined);
        assert.deepEqual(events, []);
    });
});
