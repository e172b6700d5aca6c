import assert from "node:assert/strict";
import { test } from "node:test";
import { EndpointRole } from "../../../endpoints/types/EndpointRole.js";
import { createRandomSource } from "../../../random/createRandomSource/index.js";
import { createEndpointLog } from "../createEndpointLog/index.js";
import type { LogEntry } from "../types/LogEntry.js";
import { LogEntryKind } from "../types/LogEntryKind.js";
import { createTermState } from "./index.js";

type Endpoint = ReturnType<typeof createEndpoint>;

function createEndpoint(name: string) {
    const log = createEndpointLog();
    return { name, log, terms: createTermState(name, log) };
}

function createGroup(): [Endpoint, Endpoint, Endpoint] {
    return [createEndpoint("one"), createEndpoint("two"), createEndpoint("three")];
}

function append(primary: Endpoint, kind: LogEntryKind): LogEntry {
    return primary.log.append({ term: primary.terms.term(), kind, operations: [] });
}

/** Fences the given endpoints and promotes the one with the highest last entry's term, then position. */
function failOver(term: number, fenced: readonly Endpoint[]): Endpoint {
    const answers = fenced.map(endpoint => ({ endpoint, answer: endpoint.terms.fence(term) }));
    answers.sort((left, right) =>
        right.answer.lastEntryTerm - left.answer.lastEntryTerm || right.answer.position - left.answer.position
    );
    const [best] = answers as [typeof answers[number], ...typeof answers];
    best.endpoint.terms.promote(term);
    return best.endpoint;
}

/** Copies at most `limit` entries of the followed primary, as the replication does. */
function replicate(replica: Endpoint, group: readonly Endpoint[], limit = Infinity): void {
    const followTarget = replica.terms.followTarget();
    const primary = group.find(endpoint => endpoint.name === followTarget?.primary);
    if (followTarget === undefined || primary === undefined || primary.terms.term() !== followTarget.term) {
        return;
    }
    const common = primary.log.commonPosition(replica.log.termSpans());
    replica.terms.synchronize(followTarget, common, primary.terms.startPosition());
    replica.terms.copyEntries(followTarget, primary.log.entriesAfter(replica.log.position(), limit));
}

test("an old entry confirmed in a later term is lost to an intermediate term's entry unless a marker was written", () => {
    for (const hasMarker of [false, true]) {
        const group = createGroup();
        const [one, two, three] = group;
        failOver(1, [one, two]);
        const old = append(one, LogEntryKind.Write);
        const intermediate = failOver(2, [two, three]);
        append(intermediate, LogEntryKind.Write);
        const other = intermediate === two ? three : two;
        assert.equal(failOver(3, [one, other]), one);
        if (hasMarker) {
            append(one, LogEntryKind.Marker);
        }
        other.terms.follow(3, "one");
        replicate(other, group);
        const last = failOver(4, [two, three]);
        const isKept = last.log.entriesAfter(old.position - 1, 1)[0]?.term === old.term;
        assert.equal(isKept, hasMarker);
    }
});

test("a replica that holds only part of the starting log reports no term and answers a fence with its own last entry", () => {
    const group = createGroup();
    const [one, two] = group;
    failOver(1, [one, two]);
    append(one, LogEntryKind.Write);
    append(one, LogEntryKind.Write);
    one.terms.fence(2);
    one.terms.promote(2);
    append(one, LogEntryKind.Marker);
    two.terms.follow(2, "one");
    replicate(two, group, 1);
    assert.deepEqual([two.terms.role(), two.terms.term()], [EndpointRole.Replica, 0]);
    assert.deepEqual(two.terms.fence(3), { endpoint: "two", lastEntryTerm: 1, position: 1 });
});

test("random failovers, writes and partial replication never lose an entry that a majority of one term held", () => {
    for (let seed = 1; seed <= 100; seed += 1) {
        const random = createRandomSource(seed);
        const group = createGroup();
        const acknowledged = new Map<number, LogEntry>();
        const markers = new Map<number, number>();
        let term = 0;

        function acknowledge(): void {
            for (const primary of group.filter(endpoint => endpoint.terms.role() === EndpointRole.Primary)) {
                const current = primary.terms.term();
                const held = group
                    .filter(other => other !== primary && other.terms.term() === current)
                    .map(replica => replica.log.position());
                const confirmed = Math.max(0, ...held);
                if (confirmed >= (markers.get(current) ?? Infinity)) {
                    for (const entry of primary.log.entriesAfter(0, confirmed)) {
                        acknowledged.set(entry.position, entry);
                    }
                }
            }
        }

        const actions: readonly (() => void)[] = [
            () => {
                term += 1;
                const primary = failOver(term, random.shuffle(group).slice(0, 2));
                for (const [position, entry] of acknowledged) {
                    const found = primary.log.entriesAfter(position - 1, 1)[0];
                    assert.equal(found?.term, entry.term, `seed ${seed} lost position ${position} in term ${term}`);
                }
                markers.set(term, append(primary, LogEntryKind.Marker).position);
            },
            () => {
                const primaries = group.filter(endpoint => endpoint.terms.role() === EndpointRole.Primary);
                random.shuffle(primaries).slice(0, 1).forEach(primary => append(primary, LogEntryKind.Write));
            },
            () => {
                const primary = group.find(endpoint =>
                    endpoint.terms.role() === EndpointRole.Primary && endpoint.terms.term() === term
                );
                const [replica] = random.shuffle(group.filter(endpoint => endpoint !== primary));
                if (primary !== undefined) {
                    replica?.terms.follow(term, primary.name);
                }
            },
            () => replicate(random.shuffle(group)[0] as Endpoint, group, 1 + random.nextInteger(3)),
            () => replicate(random.shuffle(group)[0] as Endpoint, group),
        ];
        for (let step = 0; step < 150; step += 1) {
            actions[random.nextInteger(actions.length)]?.();
            acknowledge();
        }
        assert.ok(acknowledged.size > 0, `seed ${seed} acknowledged nothing`);
    }
});
