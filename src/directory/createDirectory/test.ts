import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createEndpointRecord } from "../../testing/createEndpointRecord/index.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createPopulatedDirectory } from "../../testing/createPopulatedDirectory/index.js";
import { createRoute } from "../../testing/createRoute/index.js";
import { directoryConstants } from "../constants.js";
import type { EndpointRecord } from "../types/EndpointRecord.js";

describe("createDirectory", () => {
    it("applies only newer routing tables, whichever process they come from", () => {
        const directory = createPopulatedDirectory(createManualClock(), []);
        const table = {
            version: 5,
            routes: [createRoute({ database: "new" })],
            groups: [],
            idleTransactionMilliseconds: 1,
        };
        assert.ok(directory.applyRoutingTable(table));
        assert.equal(directory.applyRoutingTable({ ...table, version: 4, routes: [] }), false);
        assert.equal(directory.routingVersion(), 5);
        assert.equal(directory.routeOf("new")?.database, "new");
        assert.equal(directory.routeOf("shop"), undefined);
    });

    it("keeps an endpoint whose record is missing, then treats it as leaving, then removes it", async () => {
        const clock = createManualClock();
        const directory = createPopulatedDirectory(clock, [createEndpointRecord()]);
        directory.applyEndpoints({ isSnapshot: true, changes: [] });
        assert.equal(directory.endpoint("i-1")?.isLeaving, false);
        await clock.advance(directoryConstants.missingRecordMilliseconds);
        assert.equal(directory.endpoint("i-1")?.isLeaving, true);
        await clock.advance(directoryConstants.leavingMilliseconds);
        assert.equal(directory.endpoint("i-1"), undefined);
    });

    it("keeps an endpoint that registers again before it is treated as leaving", async () => {
        const clock = createManualClock();
        const directory = createPopulatedDirectory(clock, [createEndpointRecord()]);
        directory.applyEndpoints({
            isSnapshot: false,
            changes: [{ name: "i-1", era: 0, revision: 2, item: undefined }],
        });
        await clock.advance(directoryConstants.missingRecordMilliseconds - 1);
        const item = createEndpointRecord({ revision: 3 });
        directory.applyEndpoints({ isSnapshot: false, changes: [{ name: "i-1", era: 0, revision: 3, item }] });
        await clock.advance(directoryConstants.missingRecordMilliseconds + directoryConstants.leavingMilliseconds);
        assert.equal(directory.endpoint("i-1")?.isLeaving, false);
    });

    it("does not add a removed endpoint again from an older record", () => {
        const directory = createPopulatedDirectory(createManualClock(), [createEndpointRecord({ isLeaving: true })]);
        directory.applyEndpoints({
            isSnapshot: false,
            changes: [{ name: "i-1", era: 0, revision: 2, item: undefined }],
        });
        assert.equal(directory.endpoint("i-1"), undefined);
        const item = createEndpointRecord();
        directory.applyEndpoints({ isSnapshot: false, changes: [{ name: "i-1", era: 0, revision: 1, item }] });
        assert.equal(directory.endpoint("i-1"), undefined);
    });

    it("does not add an endpoint that another VM still knows, but that was missing when this VM read the store", () => {
        const directory = createPopulatedDirectory(createManualClock(), []);
        directory.applyEndpoints({ isSnapshot: true, version: { era: 0, revision: 20 }, changes: [] });
        const apply = (revision: number): void => {
            const item = createEndpointRecord({ revision });
            directory.applyEndpoints({ isSnapshot: false, changes: [{ name: "i-1", era: 0, revision, item }] });
        };
        apply(7);
        assert.equal(directory.endpoint("i-1"), undefined);
        apply(21);
        assert.equal(directory.endpoint("i-1")?.revision, 21);
    });

    it("gives an endpoint the usual delay that another VM knows as missing", async () => {
        const clock = createManualClock();
        const directory = createPopulatedDirectory(clock, []);
        directory.applyEndpoints({ isSnapshot: true, version: { era: 0, revision: 20 }, changes: [] });
        const item = createEndpointRecord({ revision: 7 });
        directory.applyEndpoints({
            isSnapshot: false,
            changes: [{ name: "i-1", era: 0, revision: 7, item }, {
                name: "i-1",
                era: 0,
                revision: 12,
                item: undefined,
            }],
        });
        assert.equal(directory.endpoint("i-1")?.isLeaving, false);
        await clock.advance(directoryConstants.missingRecordMilliseconds);
        assert.equal(directory.endpoint("i-1")?.isLeaving, true);
    });

    it("keeps the other endpoints when a record cannot be decoded", () => {
        const directory = createPopulatedDirectory(createManualClock(), [createEndpointRecord()]);
        directory.applyEndpoints({
            isSnapshot: false,
            changes: [{ name: "i-9", era: 0, revision: 4, item: undefined, problem: "no address" }],
        });
        assert.deepEqual(directory.endpointsOf("orders").map(({ id }) => id), ["i-1"]);
    });

    it("takes what the restored store says although its revisions are lower", () => {
        const directory = createPopulatedDirectory(createManualClock(), []);
        const apply = (record: EndpointRecord): void =>
            directory.applyEndpoints({
                isSnapshot: false,
                version: record,
                changes: [{ name: record.id, era: record.era, revision: record.revision, item: record }],
            });
        apply(createEndpointRecord({ era: 1, revision: 30, reportNumber: 4 }));
        apply(createEndpointRecord({ era: 2, revision: 9, reportNumber: 11, isLeaving: true }));
        assert.equal(directory.endpoint("i-1")?.isLeaving, true);
        apply(createEndpointRecord({ id: "i-2", era: 2, revision: 10 }));
        assert.ok(directory.endpoint("i-2") !== undefined);
        assert.deepEqual(directory.highestVersion(), { era: 2, revision: 10 });
    });

    it("does not use a leaving endpoint again that the restored store holds as serving", () => {
        const directory = createPopulatedDirectory(createManualClock(), []);
        const list = (...records: readonly EndpointRecord[]): void =>
            directory.applyEndpoints({
                isSnapshot: true,
                version: { era: records[0]!.era, revision: 50 },
                changes: records.map(item => ({ name: item.id, era: item.era, revision: item.revision, item })),
            });
        const known = [
            createEndpointRecord({ era: 1, revision: 30, reportNumber: 8, isLeaving: true }),
            createEndpointRecord({ id: "i-2", era: 1, revision: 31, reportNumber: 8, isLeaving: true }),
        ];
        list(...known);
        directory.applyEndpoints({
            isSnapshot: false,
            version: { era: 1, revision: 32 },
            changes: [{ name: "i-2", era: 1, revision: 32, item: undefined }],
        });
        list(...known.map(record => ({ ...record, era: 2, revision: 4, reportNumber: 1, isLeaving: false })));
        assert.equal(directory.endpoint("i-1")?.isLeaving, true);
        assert.equal(directory.endpoint("i-2"), undefined);
    });

    it("keeps an endpoint that the store has dropped in an earlier era, when another VM reports that removal", async () => {
        const clock = createManualClock();
        const directory = createPopulatedDirectory(clock, [createEndpointRecord({ era: 2, revision: 4 })]);
        directory.applyEndpoints({
            isSnapshot: false,
            changes: [{ name: "i-1", era: 1, revision: 32, item: undefined }],
        });
        await clock.advance(directoryConstants.missingRecordMilliseconds + directoryConstants.leavingMilliseconds);
        assert.equal(directory.endpoint("i-1")?.isLeaving, false);
    });

    it("lists no group that the operator has not configured", () => {
        const records = [createEndpointRecord(), createEndpointRecord({ id: "i-9", group: "foreign" })];
        const directory = createPopulatedDirectory(createManualClock(), records);
        assert.deepEqual(directory.groups(), ["orders"]);
    });

    it("lists an endpoint that disappeared without leaving as lost, until it registers again", async () => {
        const clock = createManualClock();
        const leaving = createEndpointRecord({ id: "i-2", isLeaving: true });
        const directory = createPopulatedDirectory(clock, [createEndpointRecord(), leaving]);
        directory.applyEndpoints({ isSnapshot: true, changes: [] });
        await clock.advance(directoryConstants.missingRecordMilliseconds + directoryConstants.leavingMilliseconds);
        assert.deepEqual(directory.lostEndpointsOf("orders", 1_000), ["i-1"]);
        await clock.advance(1_000);
        assert.deepEqual(directory.lostEndpointsOf("orders", 1_000), []);
        const item = createEndpointRecord({ revision: 3 });
        directory.applyEndpoints({ isSnapshot: false, changes: [{ name: "i-1", era: 0, revision: 3, item }] });
        assert.deepEqual(directory.lostEndpointsOf("orders", 60_000), []);
    });
});
