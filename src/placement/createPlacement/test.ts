import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import { createPrimaries } from "../../primaries/createPrimaries/index.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import type { EndpointSession } from "../../statements/types/EndpointSession.js";
import { OutgoingKind } from "../../statements/types/OutgoingKind.js";
import { SessionState } from "../../statements/types/SessionState.js";
import { createEndpointRecord } from "../../testing/createEndpointRecord/index.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createPopulatedDirectory } from "../../testing/createPopulatedDirectory/index.js";
import { placementConstants } from "../constants.js";
import type { PlacementRequest } from "../types/PlacementRequest.js";
import { createPlacement } from "./index.js";

const records = ["a", "b", "c"].map((availabilityZone, index) =>
    createEndpointRecord({
        id: `i-${index + 1}`,
        isPrimary: index === 0,
        address: { host: "127.0.0.1", port: index + 1, availabilityZone },
    })
);
const vmLocation = {
    availabilityZone: "b",
    region: "north",
    regionsByZone: { a: "north", b: "north", c: "south" },
};
const workMilliseconds = 20;

/** Creates endpoints that run each statement for `workMilliseconds`, any number concurrently. */
function createSite() {
    const clock = createManualClock();
    const directory = createPopulatedDirectory(clock, records);
    const primaries = createPrimaries(clock, directory, () => {});
    const opened = new Map<string, number>();
    const closed: string[] = [];
    const sessions: EndpointSession[] = [];
    const site = {
        isHolding: true,
        refusingIds: [] as readonly string[],
        closeAll: () => sessions.forEach(session => session.close()),
    };

    async function open({ id }: EndpointRecord): Promise<EndpointSession> {
        if (site.refusingIds.includes(id)) {
            throw new Error("refused");
        }
        opened.set(id, (opened.get(id) ?? 0) + 1);
        const closeListeners: (() => void)[] = [];
        let isClosed = false;
        const session: EndpointSession = {
            position: undefined,
            get isClosed() {
                return isClosed;
            },
            exchange: async () => {
                await clock.sleep(workMilliseconds);
                return [{ rows: [], signature: id, state: SessionState.Idle }];
            },
            close: () => {
                isClosed = true;
                closed.push(id);
                closeListeners.forEach(listener => listener());
            },
            onClose: listener => closeListeners.push(listener),
        };
        sessions.push(session);
        return session;
    }

    const placement = createPlacement({
        clock,
        random: createRandomSource(1),
        directory,
        primaries,
        open,
        vmLocation,
        vmCount: () => 8,
        isHolding: () => site.isHolding,
        metrics: { countConnection: () => {}, countWaitRefusal: () => {}, registerGauge: () => {} },
        log: () => {},
    });

    function createRequest(changes: Partial<PlacementRequest> = {}): PlacementRequest {
        return {
            group: "orders",
            needsPrimary: false,
            priority: 1,
            expiresAt: clock.now() + 600,
            excluded: new Set(),
            values: new Map(),
            ...changes,
        };
    }

    /** Runs one statement; returns the id of the endpoint that answered, or "refused". */
    async function run(changes: Partial<PlacementRequest> = {}): Promise<string> {
        try {
            const connection = await placement.acquire(createRequest(changes));
            const [answer] = await connection.exchange([{ kind: OutgoingKind.Rollback }], 1_000);
            connection.release();
            return answer!.signature!;
        }
        catch {
            return "refused";
        }
    }

    return { clock, directory, placement, opened, closed, site, createRequest, run };
}

function count(answers: readonly string[], wanted: string): number {
    return answers.filter(answer => answer === wanted).length;
}

async function runUntilAnswered(
    clock: ReturnType<typeof createManualClock>,
    answer: Promise<string>,
): Promise<string> {
    await clock.advance(2 * workMilliseconds);
    return await answer;
}

describe("createPlacement", () => {
    it("sends reads to the nearest replica, to other replicas when its connections are in use, and to the primary last", async () => {
        const { clock, run } = createSite();
        const single = run();
        await clock.advance(100);
        assert.equal(await single, "i-2");
        const many = Promise.all(Array.from({ length: 12 }, () => run()));
        await clock.advance(400);
        const answers = await many;
        assert.ok(count(answers, "i-2") >= count(answers, "i-1"), answers.join(" "));
        assert.ok(count(answers, "i-2") >= count(answers, "i-3"), answers.join(" "));
        assert.equal(count(answers, "refused"), 0);
    });

    it("sends no reads to a replica that lagged until its pause is over", async () => {
        const { clock, directory, placement, run } = createSite();
        placement.recordLagging(directory.endpoint("i-2")!);
        const first = run();
        await clock.advance(30);
        assert.notEqual(await first, "i-2");
        await clock.advance(100);
        // Another endpoint serves this read while the first connection to the nearest replica is being opened.
        void run();
        await clock.advance(100);
        const third = run();
        await clock.advance(100);
        assert.equal(await third, "i-2");
    });

    it("serves all urgent statements and refuses others in time under twice the load that the primary's connections carry", async () => {
        const { clock, opened, run } = createSite();
        const needsPrimary = true;
        // Two connections run 100 statements a second; 60 urgent and 140 others arrive in each of two seconds.
        const urgent: Promise<string>[] = [];
        const others: Promise<string>[] = [];
        for (let batch = 0; batch < 40; batch += 1) {
            for (let index = 0; index < 10; index += 1) {
                const isUrgent = index < 3;
                (isUrgent ? urgent : others).push(run({ needsPrimary, priority: isUrgent ? 0 : 1 }));
            }
            await clock.advance(50);
        }
        await clock.advance(1_000);
        const urgentAnswers = await Promise.all(urgent);
        const otherAnswers = await Promise.all(others);
        const served = count(urgentAnswers, "i-1") + count(otherAnswers, "i-1");
        assert.equal(count(urgentAnswers, "refused"), 0);
        assert.ok(count(otherAnswers, "refused") > 0);
        // Goodput stays within a tenth of the connections' capacity from the first statement to the last.
        assert.ok(served >= 180, `${served} served`);
        assert.equal(opened.get("i-1"), 2);
    });

    it("keeps its connections while it is meant to hold them, and leaves them to other VMs otherwise", async () => {
        const { clock, site, opened, closed, run } = createSite();
        const running = run();
        await clock.advance(placementConstants.unusedMilliseconds * 3);
        await running;
        assert.deepEqual(closed, []);
        site.isHolding = false;
        await clock.advance(placementConstants.unusedMilliseconds);
        assert.deepEqual(closed.sort(), [...opened.keys()].sort());
    });

    it("rejects at once a request for a specific endpoint that accepts no connection", async () => {
        const clock = createManualClock();
        const directory = createPopulatedDirectory(clock, records);
        const placement = createPlacement({
            clock,
            random: createRandomSource(1),
            directory,
            primaries: createPrimaries(clock, directory, () => {}),
            open: () => Promise.reject(new Error("refused")),
            vmLocation,
            vmCount: () => 8,
            isHolding: () => true,
            metrics: { countConnection: () => {}, countWaitRefusal: () => {}, registerGauge: () => {} },
            log: () => {},
        });
        const request = { group: "orders", endpointId: "i-1", needsPrimary: false, priority: -1, expiresAt: 400 };
        const acquire = () => placement.acquire({ ...request, excluded: new Set(), values: new Map() });
        const first = acquire().catch((error: Error) => error.message);
        await clock.advance(400);
        await first;
        await assert.rejects(acquire(), /accepts no connection/);
    });

    it("connects again to a failed endpoint for a request for it, although statements for another one wait", async () => {
        const { clock, placement, site, createRequest, run } = createSite();
        site.refusingIds = ["i-1", "i-2"];
        const refused = run({ endpointId: "i-2" });
        await clock.advance(600);
        assert.equal(await refused, "refused");
        const expiresAt = clock.now() + 10_000;
        const waiting = placement.acquire(createRequest({ needsPrimary: true, expiresAt })).catch(() => {});
        site.refusingIds = ["i-1"];
        await clock.advance(placementConstants.maximumReopenMilliseconds);
        const answered = run({ endpointId: "i-2" });
        await clock.advance(workMilliseconds);
        assert.equal(await answered, "i-2");
        await clock.advance(10_000);
        await waiting;
    });

    it("lets writes wait for a lost primary as long as a change of primary takes, then rejects them at once", async () => {
        const { clock, site, run } = createSite();
        site.refusingIds = ["i-1"];
        const first = run({ needsPrimary: true, expiresAt: clock.now() + 2_000 });
        await clock.advance(1_000);
        site.refusingIds = [];
        await clock.advance(1_000);
        assert.equal(await first, "i-1", "the primary was back in time");

        site.closeAll();
        site.refusingIds = ["i-1"];
        const refused = run({
            needsPrimary: true,
            expiresAt: clock.now() + placementConstants.lostPrimaryMilliseconds,
        });
        await clock.advance(placementConstants.lostPrimaryMilliseconds);
        assert.equal(await refused, "refused");
        const rejectedAt = clock.now();
        assert.equal(await run({ needsPrimary: true }), "refused");
        assert.equal(clock.now(), rejectedAt);
        assert.notEqual(await runUntilAnswered(clock, run()), "i-1", "reads go to replicas");

        site.refusingIds = [];
        await clock.advance(placementConstants.maximumReopenMilliseconds);
        await run({ needsPrimary: true });
        await clock.advance(1);
        assert.equal(await runUntilAnswered(clock, run({ needsPrimary: true })), "i-1", "it is back");
    });

    it("lets a write wait for a primary that refused a connection long ago and was not tried since", async () => {
        const { clock, site, run } = createSite();
        site.refusingIds = ["i-1"];
        const refused = run({ needsPrimary: true });
        await clock.advance(600);
        assert.equal(await refused, "refused");
        site.refusingIds = [];
        await clock.advance(2 * placementConstants.lostPrimaryMilliseconds);
        assert.equal(await runUntilAnswered(clock, run({ needsPrimary: true })), "i-1");
    });
});
