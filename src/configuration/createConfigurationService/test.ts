import assert from "node:assert/strict";
import { test } from "node:test";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import type { Clock } from "../../clock/types/Clock.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { EventKind } from "../../events/types/EventKind.js";
import { createConfigurationFleet } from "../../testing/createConfigurationFleet/index.js";
import type { ConfigurationFleet } from "../../testing/types/ConfigurationFleet.js";
import { configurationConstants } from "../constants.js";

const systemClock = createSystemClock();

/** Runs 20 times as fast as the system clock, so that timeouts expire early. */
const fastClock: Clock = {
    now: () => systemClock.now() * 20,
    wallTime: systemClock.wallTime,
    sleep: (milliseconds, signal) => systemClock.sleep(milliseconds / 20, signal),
    startTimer: (milliseconds, onElapsed) => systemClock.startTimer(milliseconds / 20, onElapsed),
};

async function withFleet(run: (fleet: ConfigurationFleet) => Promise<void>, clock?: Clock): Promise<void> {
    const fleet = createConfigurationFleet(11, { clock });
    try {
        await run(fleet);
    }
    finally {
        await fleet.stop();
    }
}

function limitPatch(against: number, requestBytes: number, patchId = `patch-${against}-${requestBytes}`) {
    return { against, patchText: JSON.stringify({ limits: { requestBytes } }), patchId, author: "operator" };
}

function kindOf(attempt: Promise<unknown>): Promise<ErrorKind | undefined> {
    return attempt.then(() => undefined, error => toTypedError(error).kind);
}

test("a patch comes into force in every gateway", () =>
    withFleet(async fleet => {
        const gateways = [];
        for (let count = 0; count < 5; count += 1) {
            gateways.push(await fleet.add());
        }
        const answer = await gateways[0]!.configuration.submitPatch(limitPatch(0, 1_000));
        assert.deepEqual(answer, { version: 1, isRepeated: false });
        await fleet.waitForVersion(1);
        for (const { configuration } of gateways) {
            assert.equal(configuration.current().content.limits.requestBytes, 1_000);
        }
    }));

test("of two patches against the same version one is accepted; the other is refused with the current version", () =>
    withFleet(async fleet => {
        const [first, second] = [await fleet.add(), await fleet.add()];
        fleet.setAnnouncing(false);
        const attempts = await Promise.allSettled([
            first.configuration.submitPatch(limitPatch(0, 1_000)),
            second.configuration.submitPatch(limitPatch(0, 2_000)),
        ]);
        const refused = attempts.filter(attempt => attempt.status === "rejected");
        assert.equal(refused.length, 1);
        const error = toTypedError(refused[0]!.reason);
        assert.equal(error.kind, ErrorKind.Conflict);
        assert.equal(error.details.version, 1);
        await fleet.waitForVersion(1);
        assert.deepEqual(first.configuration.current(), second.configuration.current());
    }));

test("the outcome of a write with a lost answer is resolved by a read, whether the write took effect or not", () =>
    withFleet(async fleet => {
        const { configuration } = await fleet.add();
        fleet.platform.loseNextAnswer(ErrorKind.OutcomeUnknown);
        assert.equal((await configuration.submitPatch(limitPatch(0, 1_000))).version, 1);
        fleet.platform.dropNextWrite(ErrorKind.OutcomeUnknown);
        assert.equal((await configuration.submitPatch(limitPatch(1, 2_000))).version, 2);
        fleet.platform.loseNextAnswer(ErrorKind.Conflict);
        assert.equal((await configuration.submitPatch(limitPatch(2, 3_000))).version, 3);
        assert.equal(configuration.current().content.limits.requestBytes, 3_000);
    }));

test("a patch that is sent twice is applied once, also through another gateway and after other patches", () =>
    withFleet(async fleet => {
        const [first, second] = [await fleet.add(), await fleet.add()];
        const patch = limitPatch(0, 1_000);
        await Promise.all([first.configuration.submitPatch(patch), second.configuration.submitPatch(patch)]);
        await second.configuration.submitPatch(limitPatch(1, 2_000));
        await fleet.waitForVersion(2);
        const repeated = await first.configuration.submitPatch(patch);
        assert.deepEqual(repeated, { version: 1, isRepeated: true });
        assert.equal(first.configuration.current().version, 2);
    }));

test("a patch against an old or missing version, or an invalid patch, creates no version", () =>
    withFleet(async fleet => {
        const { configuration } = await fleet.add();
        await configuration.submitPatch(limitPatch(0, 1_000));
        assert.equal(await kindOf(configuration.submitPatch(limitPatch(0, 2_000))), ErrorKind.Conflict);
        assert.equal(await kindOf(configuration.submitPatch(limitPatch(9, 2_000))), ErrorKind.Conflict);
        assert.equal(await kindOf(configuration.submitPatch(limitPatch(1, -1))), ErrorKind.InvalidPatch);
        assert.equal((await configuration.submitPatch(limitPatch(1, 3_000))).version, 2);
    }));

test("a record or snapshot of an older version that arrives late does not revert the version in force", () =>
    withFleet(async fleet => {
        const { configuration } = await fleet.add();
        await configuration.submitPatch(limitPatch(0, 1_000));
        const [late] = await configuration.readRecords(1, 1);
        const lateSnapshot = configuration.state.snapshot();
        await configuration.submitPatch(limitPatch(1, 2_000));
        configuration.state.applyRecord(late!);
        configuration.state.restore(lateSnapshot);
        assert.equal(configuration.current().version, 2);
        assert.equal(configuration.current().content.limits.requestBytes, 2_000);
    }));

test("while the store is unavailable, a starting gateway loads from its peers, and a patch is refused", () =>
    withFleet(async fleet => {
        const first = await fleet.add();
        await first.configuration.submitPatch(limitPatch(0, 1_000));
        fleet.platform.setDown(true);
        const second = await fleet.add();
        assert.equal(second.configuration.current().version, 1);
        const texts = second.events.list(0).map(event => event.text);
        assert.ok(texts.some(text => text.includes("loaded from a peer, without a request to the platform")));
        assert.equal(
            await kindOf(second.configuration.submitPatch(limitPatch(1, 2_000))),
            ErrorKind.PlatformUnavailable,
        );
        fleet.platform.setDown(false);
        assert.equal((await second.configuration.submitPatch(limitPatch(1, 2_000))).version, 2);
        assert.ok(second.events.list(0).some(event => event.kind === EventKind.PlatformLost));
    }, fastClock));

test("versions whose announcements were missed are pulled, across a snapshot and with a document above 1 MB", () =>
    withFleet(async fleet => {
        const first = await fleet.add();
        const versionCount = configurationConstants.versionsPerSnapshot + 6;
        for (let version = 0; version < versionCount; version += 1) {
            const endpoints = Object.fromEntries(Array.from({ length: 200 }, (_, index) => [
                `e-${version}-${index}`,
                { host: "127.0.0.1", port: 1, availabilityZone: "a", region: "north", slots: 3, connectionLimit: 20 },
            ]));
            const database = { endpoints, initialPrimary: `e-${version}-0` };
            const patchText = JSON.stringify({ databases: { [`database-${version}`]: database } });
            await first.configuration.submitPatch({
                against: version,
                patchText,
                patchId: `p-${version}`,
                author: "o",
            });
        }
        const { document, digest } = first.configuration.state.snapshot();
        assert.ok(JSON.stringify(document).length > 1_000_000);
        assert.ok(fleet.platform.largestValueBytes() < 1_000_000);

        await first.stop();
        const second = await fleet.add();
        assert.equal(second.configuration.current().version, versionCount);
        assert.equal(second.configuration.state.snapshot().digest, digest);
        assert.equal(second.configuration.state.versionOfPatch("p-3"), 4);
        assert.deepEqual(Object.keys((await second.configuration.readDocument(2)).databases ?? {}).length, 2);

        const third = await fleet.add();
        assert.deepEqual(third.configuration.state.snapshot().document, document);
    }));
