import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createClassQueue } from "./index.js";

interface Item {
    readonly priority: number;
    readonly caller: string;
    readonly isTimely?: boolean;
}

function createQueue(items: readonly Item[]) {
    const queue = createClassQueue<Item>({
        priorityOf: ({ priority }) => priority,
        callerOf: ({ caller }) => caller,
        isTimely: ({ isTimely = true }) => isTimely,
        costOf: () => 1,
    });
    items.forEach(queue.push);
    const serve = (count: number) => Array.from({ length: count }, () => queue.shift(() => true)!);
    return { queue, serve };
}

function repeat(count: number, item: Item): Item[] {
    return Array.from({ length: count }, () => ({ ...item }));
}

describe("createClassQueue", () => {
    it("serves the urgent class first, but leaves a tenth of the turns to another one", () => {
        const { serve } = createQueue([
            ...repeat(50, { priority: 1, caller: "ash" }),
            ...repeat(50, { priority: 0, caller: "ash" }),
        ]);
        const served = serve(33).map(({ priority }) => priority);
        assert.deepEqual(served.slice(0, 10), new Array<number>(10).fill(0));
        assert.equal(served.filter(priority => priority === 1).length, 3);
    });

    it("serves what can end in time before what cannot, and callers in turn", () => {
        const late = { priority: 0, caller: "ash", isTimely: false };
        const many = repeat(3, { priority: 0, caller: "ash" });
        const single = { priority: 0, caller: "birch" };
        const { queue, serve } = createQueue([late, ...many, single]);
        assert.equal(queue.list().indexOf(late), 4);
        const served = serve(5);
        assert.ok(served.indexOf(single) <= 1);
        assert.equal(served[4], late);
    });

    it("passes over what cannot be served now, and keeps it", () => {
        const { queue } = createQueue([{ priority: 0, caller: "ash" }, { priority: 1, caller: "birch" }]);
        assert.equal(queue.shift(({ caller }) => caller === "birch")?.caller, "birch");
        assert.equal(queue.shift(() => false), undefined);
        assert.equal(queue.length, 1);
    });

    it("gives the place of a less urgent statement, or of the caller with the most, to another one", () => {
        const { queue } = createQueue([
            ...repeat(2, { priority: 1, caller: "ash" }),
            { priority: 2, caller: "birch" },
            { priority: 1, caller: "cedar" },
        ]);
        assert.equal(queue.dropFor({ priority: 1, caller: "cedar" })?.priority, 2);
        assert.equal(queue.dropFor({ priority: 1, caller: "cedar" })?.caller, "ash");
        assert.equal(queue.dropFor({ priority: 1, caller: "cedar" }), undefined);
    });
});
