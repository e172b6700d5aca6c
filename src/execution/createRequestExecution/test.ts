import assert from "node:assert/strict";
import { test } from "node:test";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { createNotRun } from "../../messages/createNotRun/index.js";
import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import type { EndpointRequest } from "../../messages/types/EndpointRequest.js";
import { NotRunReason } from "../../messages/types/NotRunReason.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { RequestKind } from "../../messages/types/RequestKind.js";
import { createExecution } from "../../testing/createExecution/index.js";
import type { CallerReply } from "../types/CallerReply.js";
import type { CallerRequest } from "../types/CallerRequest.js";

const base = { requestId: "r", caller: "dealer", database: "stock", statement: {}, deadlineMilliseconds: 500 };
const write: CallerRequest = { ...base, kind: RequestKind.Write };
const read: CallerRequest = { ...base, kind: RequestKind.Read, isNewSession: true };
const lost: EndpointReply = { outcome: OutcomeKind.OutcomeUnknown, message: "The answer was lost." };

function answer({ term }: EndpointRequest, position: number, confirmedBy?: string): EndpointReply {
    return { outcome: OutcomeKind.Answer, result: position, term, position, queueLength: 0, confirmedBy };
}

function tokenOf(reply: CallerReply): string | undefined {
    return reply.outcome === OutcomeKind.Answer ? reply.sessionToken : undefined;
}

function reasonOf(reply: CallerReply): unknown {
    return reply.outcome === OutcomeKind.NotRun ? reply.reason : reply.outcome;
}

test("a write without a request key is sent once, and its outcome is unknown when the answer was lost", async () => {
    const { execution, sent } = createExecution(() => lost);
    assert.equal((await execution.execute(write)).outcome, OutcomeKind.OutcomeUnknown);
    assert.equal(sent.length, 1);
});

test("a write has an unknown outcome when its connection closed, and is not run when none was opened", async () => {
    const closed = createExecution(() => {
        throw createError(ErrorKind.ConnectionClosed, "Closed.", { remedy: "Retry." });
    });
    assert.equal((await closed.execution.execute(write)).outcome, OutcomeKind.OutcomeUnknown);
    const unreachable = createExecution(() => {
        throw createError(ErrorKind.Unreachable, "Not reachable.", { remedy: "Retry." });
    });
    const reply = await unreachable.execution.execute({ ...write, deadlineMilliseconds: 50 });
    assert.equal(reasonOf(reply), NotRunReason.EndpointUnavailable);
});

test("a keyed write whose answer was lost is retried under the same key and returns the answer", async () => {
    const { execution, sent } = createExecution((request, count) => count < 3 ? lost : answer(request, 7));
    const reply = await execution.execute({ ...write, requestKey: "fitment" });
    assert.equal(reply.outcome, OutcomeKind.Answer);
    assert.deepEqual(new Set(sent.map(request => request.requestKey)), new Set(["dealer/fitment"]));
});

test("a keyed write that may have run is reported as not run only after a confirmed cancellation", async () => {
    const refused = createNotRun(NotRunReason.StatementRefused, "Refused.");
    const refusedRetry = createExecution((_request, count) => count === 1 ? lost : refused);
    const refusedReply = await refusedRetry.execution.execute({ ...write, requestKey: "fitment" });
    assert.equal(refusedReply.outcome, OutcomeKind.OutcomeUnknown);
    const cancelled = createNotRun(NotRunReason.Cancelled, "Cancelled.");
    const cancelledRetry = createExecution((_request, count) => count === 1 ? lost : cancelled);
    const cancelledReply = await cancelledRetry.execution.execute({ ...write, requestKey: "fitment" });
    assert.equal(reasonOf(cancelledReply), NotRunReason.Cancelled);
});

test("a write refused for its superseded term waits for the newer term and is sent to the new primary", async () => {
    const { execution, groups, sent } = createExecution(request => {
        if (request.term === 2) {
            return answer(request, 9);
        }
        setImmediate(() =>
            groups.applyGroupRecord({ database: "stock", term: 2, primary: "stock-2", markerPosition: 8 })
        );
        return { ...createNotRun(NotRunReason.WrongTerm, "Superseded."), newerTerm: 2 };
    });
    assert.equal((await execution.execute(write)).outcome, OutcomeKind.Answer);
    assert.deepEqual(sent.map(request => request.endpoint), ["stock-1", "stock-2"]);
});

test("a keyed write leaves an unresponsive primary as soon as a newer term is known", async () => {
    const { execution, groups } = createExecution(request => {
        if (request.term === 2) {
            return answer(request, 9);
        }
        setImmediate(() =>
            groups.applyGroupRecord({ database: "stock", term: 2, primary: "stock-2", markerPosition: 8 })
        );
        return new Promise<EndpointReply>(() => {});
    });
    const reply = await execution.execute({ ...write, requestKey: "fitment", deadlineMilliseconds: 60_000 });
    assert.equal(reply.outcome, OutcomeKind.Answer);
});

test("a read after a write requires the write's position and goes first to the replica that confirmed it", async () => {
    const { execution, context, sent } = createExecution(request => answer(request, 40, "stock-3"));
    context.observations.recordCommitted("stock", 39);
    await context.clock.sleep(25);
    for (let sample = 0; sample < 5; sample += 1) {
        context.observations.recordApplied("stock", "stock-2", 38);
    }
    const sessionToken = tokenOf(await execution.execute(write));
    await execution.execute({ ...read, isNewSession: undefined, sessionToken });
    assert.equal(sent[1]?.leastPosition, 40);
    assert.equal(sent[1]?.endpoint, "stock-3");
});

test("a read that no replica can serve in time is sent to the primary", async () => {
    const behind = { ...createNotRun(NotRunReason.Behind, "Behind."), position: 3 };
    const { execution, sent } = createExecution(request =>
        request.endpoint === "stock-1" ? answer(request, 40) : behind
    );
    assert.equal((await execution.execute(read)).outcome, OutcomeKind.Answer);
    assert.equal(sent.at(-1)?.endpoint, "stock-1");
});

test("a read without a token must see what was acknowledged before it began; a new session need not", async () => {
    const { execution, sent } = createExecution(request => answer(request, 50), () => 33);
    await execution.execute({ ...read, isNewSession: undefined });
    await execution.execute(read);
    assert.deepEqual(sent.map(request => request.leastPosition), [33, 1]);
});

test("a bounded-staleness read is refused when no position of the accepted age can be proved", async () => {
    const { execution, context, sent } = createExecution(request => answer(request, 50), () => 33);
    const fresh = await execution.execute({ ...read, maximumAgeMilliseconds: 10_000 });
    assert.equal(fresh.outcome === OutcomeKind.Answer && (fresh.ageMilliseconds ?? Infinity) <= 10_000, true);
    assert.equal(sent[0]?.leastPosition, 33);
    context.freshness.refresh = async () => createNotRun(NotRunReason.NoPrimary, "Unreachable.");
    const old = await execution.execute({ ...read, maximumAgeMilliseconds: 0, deadlineMilliseconds: 50 });
    assert.equal(reasonOf(old), NotRunReason.TooOld);
});

test("a forged token is refused before anything is sent", async () => {
    const { execution, sent } = createExecution(request => answer(request, 1));
    assert.equal(reasonOf(await execution.execute({ ...write, sessionToken: "forged" })), NotRunReason.InvalidToken);
    assert.equal(sent.length, 0);
});

test("retries in one term stop when the retry budget is used up", async () => {
    const unavailable = createNotRun(NotRunReason.EndpointUnavailable, "Unavailable.");
    const { execution, sent, context } = createExecution(() => unavailable);
    await Promise.all(Array.from({ length: 40 }, () => execution.execute({ ...write, deadlineMilliseconds: 100 })));
    assert.equal(context.retryBudget.tryConsumeRetry("stock"), false);
    assert.equal(sent.length < 80, true);
});
