import assert from "node:assert/strict";
import { test } from "node:test";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { createBackoff } from "./index.js";

test("pauses stay below a bound that doubles up to the maximum, and end after the number of attempts", () => {
    const options = { initialMilliseconds: 10, maximumMilliseconds: 60, attempts: 5 };
    const bounds = [10, 20, 40, 60, 60];
    const firstPauses = new Set<number>();
    for (let seed = 0; seed < 200; seed += 1) {
        const pauses = [...createBackoff(createRandomSource(seed), options)];
        assert.equal(pauses.length, 5);
        pauses.forEach((pause, index) => assert.ok(pause >= 0 && pause < bounds[index]!));
        firstPauses.add(pauses[0]!);
    }
    assert.ok(firstPauses.size > 190, "processes that failed at the same time pause for different times");
});
