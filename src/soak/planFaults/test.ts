import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { soakConstants } from "../constants.js";
import { FaultKind } from "../types/FaultKind.js";
import { planFaults } from "./index.js";

const milliseconds = 600_000;

describe("planFaults", () => {
    it("draws the same faults from the same seed", () => {
        const draw = () => [...planFaults(createRandomSource(7), milliseconds)];
        assert.deepEqual(draw(), draw());
    });

    it("draws only planned work on request", () => {
        const kinds = new Set([...planFaults(createRandomSource(7), milliseconds, true)].map(({ kind }) => kind));
        assert.deepEqual(
            [...kinds].sort(),
            [FaultKind.ConfigurationChanged, FaultKind.VmReloaded, FaultKind.VmStopped],
        );
    });

    it("draws every kind, in order, some overlapping", () => {
        const faults = [...planFaults(createRandomSource(7), milliseconds)];
        assert.equal(new Set(faults.map(({ kind }) => kind)).size, Object.keys(FaultKind).length);
        const startTimes = faults.map(({ atMilliseconds }) => atMilliseconds);
        assert.deepEqual(startTimes, [...startTimes].sort((left, right) => left - right));
        const overlapping = faults.filter(({ atMilliseconds, durationMilliseconds }, index) =>
            atMilliseconds + durationMilliseconds > (faults[index + 1]?.atMilliseconds ?? Infinity)
        );
        assert.ok(overlapping.length > faults.length / 4);
        assert.ok(faults.every(fault => fault.durationMilliseconds <= soakConstants.maximumFaultMilliseconds));
    });
});
